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
	endpoint    *endpoint // that it was opened to
	idleSince   time.Time // when it was last put there,
	idleUntil   time.Time // and until when it may be used from there
	socket      *connlimit.Socket
	reader      *bufio.Reader
	dialTime    time.Duration // until it was up,
	connectedAt time.Time     // which it was then
	use         connUse       // by its present call

	mu   sync.Mutex
	next *attempt // to carry, once the goroutine has seen that nothing had come in
	over bool     // no further call may use it

	answering bool // an answer is being judged; of the goroutine that reads
}

func newConn(s *connlimit.Socket, at *endpoint) *conn {
	c := &conn{endpoint: at, socket: s}
	c.reader = http1.NewReader(c)
	return c
}

// Read reads from the socket, and gives an answer that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 && c.answering {
		c.socket.SetReadDeadline(time.Now().Add(maxResponsePause))
	}
	return n, err
}

// offer gives the idle connection its next call, unless it has ended.
func (c *conn) offer(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.next = a
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

// idleOutcomes waits for the next call. How says why the connection can't carry it, or has ended without one; Open = it can.
func (c *conn) waitForAttempt() (next *attempt, how outcome.Kind) {
	began := time.Now()
	_, err := c.reader.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next, c.next = c.next, nil
	c.over = c.over || next == nil
	c.mu.Unlock()
	// This goroutine may have been woken late, and the provider may be about to close the connection.
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.idleUntil) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.Quiet() {
			return next, outcome.Open
		}
	}
	return next, outcome.FromIdleError(err)
}

// staysQuiet waits, with the last byte still to be written, and reports whether nothing has come in, an end included.
func (c *conn) staysQuiet(pause time.Duration) bool {
	if pause <= 0 {
		return c.socket.Quiet()
	}
	c.socket.SetReadDeadline(time.Now().Add(pause))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// setAnswering starts the time of an answer, or ends it.
func (c *conn) setAnswering(begun bool) {
	if c.answering = begun; begun {
		c.socket.SetReadDeadline(time.Now().Add(maxResponsePause))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}
