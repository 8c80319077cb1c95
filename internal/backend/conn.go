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

// conn is one connection to a server. One goroutine sends its attempts, one after another, and reads from it between them:
// bytes that arrive while no attempt is in flight, or before an attempt's last byte is written, are no response, and make the
// connection unusable.
type conn struct {
	endpoint    *endpoint
	idleSince   time.Time // when it last became idle
	idleUntil   time.Time // until when it may be reused; idleSince and idleUntil are guarded by Client.mu while it is idle
	socket      *connlimit.Socket
	reader      *bufio.Reader
	dialTime    time.Duration
	connectedAt time.Time
	use         connUse // how the connection was used before its current attempt

	mu      sync.Mutex
	next    *attempt // set by offer; it begins once the connection's goroutine has checked that nothing has been received
	closing bool     // no further attempt may use it

	// Used by the reading goroutine alone.
	responding *attempt // whose response has begun and is not read completely; nil = none
	hold       hold     // of that response
	received   int      // bytes received since the attempt was written
}

func newConn(socket *connlimit.Socket, endpoint *endpoint) *conn {
	c := &conn{endpoint: endpoint, socket: socket}
	c.reader = http1.NewReader(c)
	return c
}

// Read reads from the socket. While a response is read, it reports that this takes more than one read, and sets the read deadline
// by the progress.
func (c *conn) Read(p []byte) (int, error) {
	if c.responding != nil {
		c.responding.reportResponding()
	}
	n, err := c.socket.Read(p)
	c.received += n
	if n > 0 && c.responding != nil {
		c.hold.progress(time.Now())
		c.socket.SetReadDeadline(c.hold.readDeadline())
	}
	return n, err
}

// setHold sets what bounds the time for reading the response.
func (c *conn) setHold(h hold) {
	c.hold = h
	c.socket.SetReadDeadline(h.readDeadline())
}

// offer gives the idle connection its next attempt. It returns false if the connection is closed.
func (c *conn) offer(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.next = a
	c.socket.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine that waits in Peek
	return true
}

// close closes the connection; an attempt in flight on it fails.
func (c *conn) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.socket.Close()
}

// waitForAttempt waits for the next attempt. The outcome Open means that the connection can be used for it; any other says
// why not, or how the connection has ended without an attempt.
func (c *conn) waitForAttempt() (next *attempt, kind outcome.Kind) {
	began := time.Now()
	_, err := c.reader.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next = c.next
	c.next = nil
	c.closing = c.closing || next == nil
	c.mu.Unlock()
	// If this goroutine was scheduled late, the idle time may be over and the server about to close the connection.
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.idleUntil) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.HasNothingUnread() {
			return next, outcome.Open
		}
	}
	return next, outcome.FromIdleError(err)
}

// receivesNothingFor waits for the pause before the last byte, and reports whether nothing was received, neither bytes nor
// the server's close.
func (c *conn) receivesNothingFor(pause time.Duration) bool {
	if pause <= 0 {
		return c.socket.HasNothingUnread()
	}
	c.socket.SetReadDeadline(time.Now().Add(pause))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// setResponding records that a response to the attempt has begun, or that it is read: a final one, or an interim one.
func (c *conn) setResponding(a *attempt, begun bool) {
	a.responseBegun.Store(begun)
	if !begun {
		c.responding = nil
		c.socket.SetReadDeadline(time.Time{})
		return
	}
	c.responding = a
	h := hold{lastProgress: time.Now()}
	if a.isProbe {
		h.mode = holdUntilPause
	}
	c.setHold(h)
}
