package provider

import (
	"bufio"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"plankrouter/internal/ending"
	"plankrouter/internal/http1"
	"plankrouter/internal/sockets"
)

// lump is what a kernel takes at once. Only a larger message takes so long to write that an answer could come before
// its end.
const lump = 8 << 10

// mostPassed is how many kept connections a call may pass over before it gets a new one: the others are older still.
const mostPassed = 4

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
	dialed time.Duration // until it was up
	use    Use           // by its present call

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
	c.use.Idle = time.Since(began)
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
	sent := time.Now()
	early := func() (Result, bool) { // a part of a request can't have run
		return Result{Ending: ending.Unwritten, Early: true, Took: time.Since(sent)}, false
	}
	rest := call.message
	if call.inParts() {
		if _, err := c.socket.Write(rest[:len(rest)-1]); err != nil || !c.quietFor(call.hold) {
			return early()
		}
		if rest = rest[len(rest)-1:]; !call.release() {
			return Result{}, false
		}
	}
	if _, err := c.socket.Write(rest); err != nil {
		return early()
	}
	if !call.written() {
		return Result{}, false
	}
	sent = time.Now()
	resp, err := http1.ReadResponse(c.br, c.begun)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return Result{Ending: ending.Malformed}, false
	case err != nil: // the kernel has taken the last byte, and nobody knows
		return Result{Ending: ending.ResetByPeer, Took: time.Since(sent)}, false
	}
	return call.resultOf(resp), !resp.Close && c.br.Buffered() == 0
}

// quietFor waits, with the last byte still to be written, and reports whether nothing has come in, an end included.
func (c *Conn) quietFor(hold time.Duration) bool {
	if hold <= 0 {
		return c.socket.Quiet()
	}
	c.socket.SetReadDeadline(time.Now().Add(hold))
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// foundDead reports whether the call has learned nothing but that the kept connection was dead. What is not a probe must
// not have been sent whole: whether to send that again is not decided here.
func (c *Conn) foundDead(call *Call, r *Result) bool {
	return c.use.Carried > 0 && (r.Early || call.probe && r.Ending == ending.ResetByPeer)
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
	Name    string // the provider's
	Address string
	idle    []*Conn // most lately used last
	closed  bool
}

// offer gives the call to the connection most lately used that the bet takes: the others grow idle and are retired.
func (p *Pool) offer(call *Call, bet Bet) bool {
	for at, passed := len(p.idle)-1, 0; at >= 0 && passed < mostPassed; at-- {
		c := p.idle[at]
		use := Use{Idle: time.Since(c.put), Carried: c.use.Carried}
		if !bet.Take(use) { // it may do for another call
			passed++
			continue
		}
		p.idle = slices.Delete(p.idle, at, at+1)
		call.hold = bet.Hold(use)
		if c.socket.Busy() && !c.socket.Leaving() && c.offer(call) {
			return true
		}
		c.Close()
	}
	return false
}

// Provider names the provider that the connection was opened to.
func (c *Conn) Provider() string { return c.pool.Name }

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
