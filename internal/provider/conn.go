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

// lump is what a kernel takes at once. Only a larger message takes so long to write that an answer could come before
// its end.
const lump = 8 << 10

// restWithin is how long an answer that has begun may take to end. Its work is done by then and it is at most 64 KiB: what
// is still missing, as behind a head that does not end or a length that is too large, will not come.
const restWithin = 150 * time.Millisecond

// Conn is one connection to a provider. One goroutine carries its calls, one after another, and watches it between
// them: whatever comes while there is no call on it belongs to nobody, and so does what comes before a call's last
// byte is written.
type Conn struct {
	pool   *Pool     // of the provider that it was opened to
	put    time.Time // when it was last put there
	socket *sockets.Socket
	br     *bufio.Reader
	idled  time.Duration // before its present call
	served int           // calls that it has carried before that

	mu   sync.Mutex
	next *Call // to carry, once the goroutine has seen that nothing had come in
	over bool  // no further call may use it
}

func newConn(s *sockets.Socket, pool *Pool) *Conn {
	return &Conn{pool: pool, socket: s, br: http1.NewReader(s)}
}

// offer gives the idle connection its next call, unless it has ended.
func (c *Conn) offer(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.next = call
	c.socket.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine
	return true
}

// Close ends the connection; a call on it is lost.
func (c *Conn) Close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.socket.Close()
}

// idle waits for the next call. How says why the connection can't carry it, or has ended without one; Open = it can.
func (c *Conn) idle() (call *Call, how ending.Ending) {
	began := time.Now()
	_, err := c.br.Peek(1)
	c.idled = time.Since(began)
	c.mu.Lock()
	call, c.next = c.next, nil
	c.over = c.over || call == nil
	c.mu.Unlock()
	if call != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.Quiet() {
			return call, ending.Open
		}
	}
	return call, ending.OfIdle(err)
}

// carry makes the call, on a connection that is quiet, and reports how it ended, with the answer if there was one, and
// whether the connection may be used again.
func (c *Conn) carry(call *Call) (r Result, again bool) {
	var err error
	rest := call.message
	if len(rest) > lump {
		_, err = c.socket.Write(rest[:len(rest)-1])
		rest = rest[len(rest)-1:]
		if err == nil && !c.socket.Quiet() {
			return Result{Ending: ending.Unwritten}, false
		}
	}
	if err == nil && call.hold > 0 && len(rest) > 1 {
		_, err = c.socket.Write(rest[:len(rest)-1])
		rest = rest[len(rest)-1:]
		if err == nil {
			c.socket.SetReadDeadline(time.Now().Add(call.hold))
			_, perr := c.br.Peek(1)
			if !errors.Is(perr, os.ErrDeadlineExceeded) {
				return Result{Ending: ending.Unwritten}, false
			}
			c.socket.SetReadDeadline(time.Time{})
		}
	}
	if err == nil {
		_, err = c.socket.Write(rest)
	}
	if err != nil { // a part of a request can't have run
		return Result{Ending: ending.Unwritten}, false
	}
	if !call.written() {
		return Result{}, false
	}
	resp, err := http1.ReadResponse(c.br, c.begun)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return Result{Ending: ending.Malformed}, false
	case err != nil: // the kernel has taken the last byte, and nobody knows
		return Result{Ending: ending.ResetByPeer}, false
	}
	return call.resultOf(resp), !resp.Close && c.br.Buffered() == 0
}

// begun starts the time of an answer, or ends it.
func (c *Conn) begun(begun bool) {
	if begun {
		c.socket.SetReadDeadline(time.Now().Add(restWithin))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}

// Pool is one provider's idle connections at one address. It belongs to one goroutine.
type Pool struct {
	Address string
	idle    []*Conn // most lately used last
	closed  bool
}

// offer gives the call to the connection most lately used, if it is fresh enough: the others grow idle and are retired.
func (p *Pool) offer(call *Call, fresh time.Duration) bool {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.put) <= fresh && c.socket.Busy() && !c.socket.Leaving() && c.offer(call) {
			return true
		}
		c.Close()
	}
	return false
}

// Put keeps a connection for at most retire, which must end well before the provider closes it: a call that
// crosses the provider's close is reset, and may not be sent again if it may not run twice.
func (c *Conn) Put(retire time.Duration) {
	p := c.pool
	if p.closed || c.socket.SetReadDeadline(time.Now().Add(retire)) != nil {
		c.Close()
		return
	}
	c.socket.Idle(0)
	c.put = time.Now()
	p.idle = append(p.idle, c)
}

// Drop forgets the connection, which has ended.
func (c *Conn) Drop() {
	p := c.pool
	for i, have := range p.idle {
		if have == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// Close closes all, and those to come: the provider is gone, drains or lives elsewhere now, and who answers at its
// address from now on is somebody else.
func (p *Pool) Close() {
	for _, c := range p.idle {
		c.Close()
	}
	p.idle, p.closed = nil, true
}
