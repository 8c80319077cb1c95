package provider

import (
	"bufio"
	"errors"
	"os"
	"sync"
	"time"

	"plankrouter/internal/caller"
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

// conn is one connection to a provider. One goroutine carries its calls, one after another, and watches it between
// them: whatever comes while there is no call on it belongs to nobody, and so does what comes before a call's last
// byte is written.
type conn struct {
	at     *endpoint // that it was opened to
	put    time.Time // when it was last put there
	socket *sockets.Socket
	br     *bufio.Reader
	dialed time.Duration // until it was up
	use    use           // by its present call

	mu   sync.Mutex
	next *call // to carry, once the goroutine has seen that nothing had come in
	over bool  // no further call may use it
}

func newConn(s *sockets.Socket, at *endpoint) *conn {
	return &conn{at: at, socket: s, br: http1.NewReader(s)}
}

// offer gives the idle connection its next call, unless it has ended.
func (c *conn) offer(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.next = call
	c.socket.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine
	return true
}

// close ends the connection; a call on it is lost.
func (c *conn) close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.socket.Close()
}

// idle waits for the next call. How says why the connection can't carry it, or has ended without one; Open = it can.
func (c *conn) idle() (next *call, how ending.Ending) {
	began := time.Now()
	_, err := c.br.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next, c.next = c.next, nil
	c.over = c.over || next == nil
	c.mu.Unlock()
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.Quiet() {
			return next, ending.Open
		}
	}
	return next, ending.OfIdle(err)
}

// carry makes the call, on a connection that is quiet, and reports how it ended, with the answer if there was one, and
// whether the connection may be used again.
func (c *conn) carry(call *call) (r result, again bool) {
	sent := time.Now()
	early := func() (result, bool) { // a part of a request can't have run
		return result{Result: caller.Result{Ending: ending.Unwritten}, early: true, took: time.Since(sent)}, false
	}
	rest := call.message
	if call.inParts() {
		if _, err := c.socket.Write(rest[:len(rest)-1]); err != nil || !c.quietFor(call.hold) {
			return early()
		}
		if rest = rest[len(rest)-1:]; !call.release() {
			return result{}, false
		}
	}
	if _, err := c.socket.Write(rest); err != nil {
		return early()
	}
	if !call.written() {
		return result{}, false
	}
	sent = time.Now()
	resp, err := http1.ReadResponse(c.br, call.bodiless, c.begun)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return result{Result: caller.Result{Ending: ending.Malformed}}, false
	case err != nil: // the kernel has taken the last byte, and nobody knows
		return result{Result: caller.Result{Ending: ending.ResetByPeer}, took: time.Since(sent)}, false
	}
	return result{Result: call.resultOf(resp)}, !resp.Close && c.br.Buffered() == 0
}

// quietFor waits, with the last byte still to be written, and reports whether nothing has come in, an end included.
func (c *conn) quietFor(hold time.Duration) bool {
	if hold <= 0 {
		return c.socket.Quiet()
	}
	c.socket.SetReadDeadline(time.Now().Add(hold))
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// foundDead reports whether the call has learned nothing but that the kept connection was dead. What is not a probe must
// not have been sent whole: whether to send that again is not decided here.
func (c *conn) foundDead(call *call, r *result) bool {
	return c.use.carried > 0 && (r.early || call.probe && r.Ending == ending.ResetByPeer)
}

// begun starts the time of an answer, or ends it.
func (c *conn) begun(begun bool) {
	if begun {
		c.socket.SetReadDeadline(time.Now().Add(restWithin))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}
