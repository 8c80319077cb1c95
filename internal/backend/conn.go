package backend

import (
	"bufio"
	"errors"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"sync"
	"time"
)

// conn is one connection to a provider. One goroutine carries its calls, one after another, and watches it between
// them: whatever comes while there is no call on it belongs to nobody, and so does what comes before a call's last
// byte is written.
type conn struct {
	at     *endpoint // that it was opened to
	put    time.Time // when it was last put there,
	until  time.Time // and until when it may be used from there
	socket *connlimit.Socket
	br     *bufio.Reader
	dialed time.Duration // until it was up,
	since  time.Time     // which it was then
	use    use           // by its present call

	mu   sync.Mutex
	next *call // to carry, once the goroutine has seen that nothing had come in
	over bool  // no further call may use it

	answering bool // an answer is being judged; of the goroutine that reads
}

func newConn(s *connlimit.Socket, at *endpoint) *conn {
	c := &conn{at: at, socket: s}
	c.br = http1.NewReader(c)
	return c
}

// Read reads from the socket, and gives an answer that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 && c.answering {
		c.socket.SetReadDeadline(time.Now().Add(pauseMost))
	}
	return n, err
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
func (c *conn) idle() (next *call, how outcome.Kind) {
	began := time.Now()
	_, err := c.br.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next, c.next = c.next, nil
	c.over = c.over || next == nil
	c.mu.Unlock()
	// This goroutine may have been woken late, and the provider may be about to close the connection.
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.until) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.Quiet() {
			return next, outcome.Open
		}
	}
	return next, outcome.FromIdleError(err)
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

// begun starts the time of an answer, or ends it.
func (c *conn) begun(begun bool) {
	if c.answering = begun; begun {
		c.socket.SetReadDeadline(time.Now().Add(pauseMost))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}
