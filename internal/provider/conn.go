package provider

import (
	"bufio"
	"errors"
	"os"
	"sync"
	"time"

	"plankrouter/internal/ending"
	"plankrouter/internal/http1"
	"plankrouter/internal/sockets"
)

const lastLook = 50 * time.Millisecond

// Conn is one connection to a provider. It carries one call at a time; its reader stays on it between calls
// and so sees when the provider closes it.
type Conn struct {
	Address string

	socket *sockets.Socket
	br     *bufio.Reader
	sink   Sink

	mu   sync.Mutex
	call *Call
	over bool // no further call may use it
}

func newConn(s *sockets.Socket, address string, sink Sink) *Conn {
	return &Conn{Address: address, socket: s, br: http1.NewReader(s), sink: sink}
}

// bind gives the connection to a call, or takes it back, and reports whether it is still usable.
func (c *Conn) bind(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = call
	return !c.over
}

func (c *Conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.over
}

// expire leaves the reader a moment for an answer that has come already.
func (c *Conn) expire() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.socket.SetReadDeadline(time.Now().Add(lastLook))
}

// Close ends the connection; a call on it is lost.
func (c *Conn) Close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.socket.Close()
}

// read waits for answers until the connection ends.
func (c *Conn) read() {
	for {
		_, err := c.br.Peek(1)
		c.mu.Lock()
		call := c.call
		if errors.Is(err, os.ErrDeadlineExceeded) && call != nil && !c.over {
			c.mu.Unlock() // taken for a call at the very moment when it was to be retired
			continue
		}
		if err != nil || call == nil {
			c.over = true
		}
		c.mu.Unlock()
		switch {
		case call == nil:
			c.socket.Close()
			c.sink.ConnEnded(c, ending.OfIdle(err))
			return
		case err != nil:
			c.socket.Close()
			call.lost(c, ending.ResetByPeer)
			return
		}
		resp, err := http1.ReadResponse(c.br)
		if err != nil {
			c.Close()
			e := ending.ResetByPeer
			if errors.Is(err, http1.ErrMalformed) {
				e = ending.Malformed
			}
			call.lost(c, e)
			return
		}
		if !c.finish(call, resp) {
			return
		}
	}
}

// finish hands over the answer and reports whether the connection may serve another call.
func (c *Conn) finish(call *Call, resp *http1.Response) bool {
	r := call.resultOf(resp)
	if call.sent(c) && !resp.Close && c.br.Buffered() == 0 {
		r.Conn = c
		c.bind(nil)
	} else {
		c.Close()
	}
	return call.end(c.sink, r) && r.Conn != nil
}

// sent reports whether the last byte was written, ending a write that the provider did not wait for.
func (call *Call) sent(c *Conn) bool {
	select {
	case <-call.wrote:
	default:
		c.socket.SetWriteDeadline(time.Unix(1, 0)) // no effect on a write that is through
		<-call.wrote
		c.socket.SetWriteDeadline(time.Time{})
	}
	call.mu.Lock()
	defer call.mu.Unlock()
	return call.stage == written
}

// lost ends a call whose connection broke: a part of a request can't have run, and once the kernel has taken
// the last byte nobody knows.
func (call *Call) lost(c *Conn, e ending.Ending) {
	if !call.sent(c) {
		e = e.Unsent()
	}
	call.end(c.sink, Result{Ending: e})
}

// Pool is one provider's idle connections. It belongs to one goroutine.
type Pool struct {
	Address string
	idle    []*Conn // most lately used last
}

// Take returns the connection most lately used, or nil: the others grow idle and are retired.
func (p *Pool) Take() *Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.socket.Busy() && !c.socket.Leaving() && c.usable() && c.socket.SetReadDeadline(time.Time{}) == nil {
			return c
		}
		c.Close()
	}
	return nil
}

// Put keeps a connection for at most retire, which must end well before the provider closes it: a call that
// crosses the provider's close is reset, and may not be sent again if it may not run twice.
func (p *Pool) Put(c *Conn, retire time.Duration) {
	if c.Address != p.Address || !c.usable() || c.socket.SetReadDeadline(time.Now().Add(retire)) != nil {
		c.Close()
		return
	}
	c.socket.Idle(0)
	p.idle = append(p.idle, c)
}

// Drop forgets a connection that has ended.
func (p *Pool) Drop(c *Conn) {
	for i, have := range p.idle {
		if have == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// Close closes all.
func (p *Pool) Close() {
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
