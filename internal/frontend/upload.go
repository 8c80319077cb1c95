package frontend

import (
	"errors"
	"io"
	"os"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"sync/atomic"
	"time"
)

var errAnsweredEarly = errors.New("answered before the body was there")

// upload is the rest of a long request. The attempt that is out reads it straight from the consumer's connection, whose reader
// waits meanwhile.
type upload struct {
	conn       *conn
	body       *http1.Body
	pace       *streaming.Pace
	clientGone func() // told as soon as it is known that the body will never be whole

	consumed atomic.Bool
	taken    atomic.Bool
	mu       sync.Mutex // held by who reads
	err      error      // why nothing more comes; io.EOF = that was all
	done     chan struct{}

	state         sync.Mutex
	complete      bool // the body was read to its end
	answered      bool // the answer was written
	completedLate bool // before the body was read to its end
}

func (u *upload) Length() int64  { return u.body.Length() }
func (u *upload) Consumed() bool { return u.consumed.Load() }

// Read makes it an request.Source.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && u.taken.Load() {
		return 0, errAnsweredEarly
	}
	if u.err != nil {
		return 0, u.err
	}
	u.consumed.Store(true)
	u.conn.pace = u.pace
	u.conn.socket.ExtendReadDeadline(u.pace.Until(time.Now()))
	n, err := u.body.Read(p)
	if err == nil && u.body.Length() == 0 {
		err = io.EOF
	}
	if u.taken.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errAnsweredEarly
	}
	if err != nil {
		u.conn.pace = nil
		u.finish(err)
	}
	return n, err
}

// finish notes why nothing more comes. It is called with mu held.
func (u *upload) finish(err error) {
	if u.err == nil {
		if u.err = err; err != io.EOF && err != errAnsweredEarly {
			u.clientGone()
		}
		u.state.Lock()
		u.complete = err == io.EOF
		u.completedLate = u.answered
		u.state.Unlock()
		u.conn.socket.SetReadDeadline(time.Time{})
		close(u.done)
	}
}

// markAnswered notes that the answer is written, and reports whether the body had been read to its end.
func (u *upload) markAnswered() bool {
	u.state.Lock()
	defer u.state.Unlock()
	u.answered = true
	return u.complete
}

// takeBody takes the body from whoever reads it.
func (u *upload) takeBody() {
	u.taken.Store(true)
	u.conn.socket.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn.pace = nil
	u.finish(errAnsweredEarly)
}

// awaitUpload waits until the rest of the body has been read. Another ending than Open says that the connection is at its end. If the
// answer came first, what is left of the body is read and dropped, and c.upload is nil then.
func (c *conn) awaitUpload(inv *request.Request) outcome.Kind {
	u, look := c.upload, time.Tick(clientCheckInterval) // where no attempt reads, nobody sees the consumer's end
	for waiting := true; waiting; {
		select {
		case <-look:
			if c.socket.Left() {
				c.server.dispatcher.ClientGone(inv)
				u.takeBody()
				return outcome.ClientGone
			}
			continue
		case <-u.done:
			switch {
			case u.err == io.EOF && !u.completedLate:
				return outcome.Open
			case u.err == io.EOF:
				if e := <-c.written; e != outcome.Open {
					return e
				}
				c.upload = nil
				c.markIdle()
				return outcome.Open
			}
			c.server.dispatcher.ClientGone(inv)
			if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, http1.ErrMalformed) {
				return outcome.MalformedRequest
			}
			return outcome.ClientGone
		case e := <-c.written:
			u.takeBody() // before anything else: who still reads must not do so beyond the connection's end
			if e != outcome.Open {
				return e
			}
		case <-c.server.stopped:
			u.takeBody()
			return outcome.ShuttingDown
		}
		waiting = false
	}
	if u.err == errAnsweredEarly {
		c.pace = u.pace
		c.socket.ExtendReadDeadline(u.pace.Until(time.Now()))
		_, err := io.Copy(io.Discard, u.body)
		if c.pace = nil; err != nil || !c.socket.MarkBusy() || c.socket.SetReadDeadline(time.Time{}) != nil {
			return outcome.MalformedRequest
		}
	}
	c.upload = nil
	c.markIdle()
	return outcome.Open
}
