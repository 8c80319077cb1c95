package backend

import (
	"bufio"
	"errors"
	"os"
	"sync"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
)

// conn is one connection to a server. One goroutine makes its attempts, one after another, and watches it between
// them: whatever comes in while there is no attempt on it belongs to nobody, and so does what comes in before an attempt's last
// byte is written.
type conn struct {
	endpoint    *endpoint
	idleSince   time.Time // when it last became idle,
	idleUntil   time.Time // and until when it may be reused; both guarded by the Caller's lock while it is on the endpoint's list
	socket      *connlimit.Socket
	reader      *bufio.Reader
	dialTime    time.Duration
	connectedAt time.Time
	use         connUse // before its present attempt

	mu   sync.Mutex
	next *attempt // offered, and begun once the goroutine has seen that nothing had come in
	over bool     // no further attempt may use it

	answering bool // an answer has begun and is not read yet; only the goroutine that reads uses it
}

func newConn(socket *connlimit.Socket, endpoint *endpoint) *conn {
	c := &conn{endpoint: endpoint, socket: socket}
	c.reader = http1.NewReader(c)
	return c
}

// Read reads from the socket, and extends the time of an answer that makes progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 && c.answering {
		c.socket.SetReadDeadline(time.Now().Add(maxResponsePause))
	}
	return n, err
}

// offer gives the idle connection its next attempt, unless it has ended.
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

// close ends the connection; an attempt on it is lost.
func (c *conn) close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	_ = c.socket.Close()
}

// waitForAttempt waits for the next attempt. How says why the connection can't be used for it, or has ended without one; Open = it
// can.
func (c *conn) waitForAttempt() (next *attempt, how outcome.Kind) {
	began := time.Now()
	_, err := c.reader.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next = c.next
	c.next = nil
	c.over = c.over || next == nil
	c.mu.Unlock()
	// This goroutine may have been woken late, and the server may be about to close the connection.
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.idleUntil) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.HasNothingUnread() {
			return next, outcome.Open
		}
	}
	return next, outcome.FromIdleError(err)
}

// remainsQuiet waits for the pause before the last byte, and reports whether nothing has come in, the connection's end included.
func (c *conn) remainsQuiet(pause time.Duration) bool {
	if pause <= 0 {
		return c.socket.HasNothingUnread()
	}
	c.socket.SetReadDeadline(time.Now().Add(pause))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// setAnswering starts or ends the bound on pauses within an answer.
func (c *conn) setAnswering(answering bool) {
	c.answering = answering
	if answering {
		c.socket.SetReadDeadline(time.Now().Add(maxResponsePause))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}
