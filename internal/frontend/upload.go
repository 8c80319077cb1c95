package frontend

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// errAnsweredEarly says that the body is not needed any more.
var errAnsweredEarly = errors.New("answered before the body was complete")

// upload is the rest of a long request, a request.Upload. The attempt under way reads it straight from the client's connection, whose
// reader goroutine waits meanwhile.
type upload struct {
	conn           *conn
	body           *http1.Body
	pace           *streaming.Pace
	markClientGone func() // called as soon as it is known that the body will never be complete

	consumed atomic.Bool
	taken    atomic.Bool // takeBody has been called
	mu       sync.Mutex  // held during a Read
	err      error       // why nothing more comes; io.EOF = the body is complete
	done     chan struct{}

	state         sync.Mutex // guards what follows
	complete      bool       // the body was read to its end
	answered      bool       // the answer was written
	completedLate bool       // the answer was written first
}

// Length is what is left of the body in bytes; -1 = not known.
func (u *upload) Length() int64 { return u.body.Length() }

// Consumed reports whether any of the body has been read.
func (u *upload) Consumed() bool { return u.consumed.Load() }

// Read reads what has come of the body.
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
	u.conn.socket.ExtendReadDeadline(u.pace.Deadline(time.Now()))
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
	if u.err != nil {
		return
	}
	u.err = err
	complete := errors.Is(err, io.EOF)
	if !complete && !errors.Is(err, errAnsweredEarly) {
		u.markClientGone()
	}
	u.state.Lock()
	u.complete = complete
	u.completedLate = u.answered
	u.state.Unlock()
	u.conn.socket.SetReadDeadline(time.Time{})
	close(u.done)
}

// markAnswered notes that the answer is written, and reports whether the body had been read to its end.
func (u *upload) markAnswered() bool {
	u.state.Lock()
	defer u.state.Unlock()
	u.answered = true
	return u.complete
}

// takeBody ends the reading by attempts.
func (u *upload) takeBody() {
	u.taken.Store(true)
	u.conn.socket.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn.pace = nil
	u.finish(errAnsweredEarly)
}

// awaitUpload waits until the rest of the body has been read. Another outcome than Open says that the connection has ended. If the
// answer came first, what is left of the body is read and dropped, and c.upload is nil then.
func (c *conn) awaitUpload(r *request.Request) outcome.Kind {
	u := c.upload
	check := time.Tick(clientCheckInterval) // while no attempt reads, nothing else notices the client's end
	for {
		select {
		case <-check:
			if c.socket.HasPeerClosed() {
				c.server.dispatcher.ClientGone(r)
				u.takeBody()
				return outcome.ClientGone
			}
		case <-u.done:
			return c.endUpload(r)
		case how := <-c.written:
			u.takeBody() // first of all, since an attempt must not read beyond the connection's end
			if how != outcome.Open {
				return how
			}
			return c.dropUpload()
		case <-c.server.stopped:
			u.takeBody()
			return outcome.ShuttingDown
		}
	}
}

// endUpload deals with a body that was read to its end, or that has broken off.
func (c *conn) endUpload(r *request.Request) outcome.Kind {
	u := c.upload
	switch {
	case errors.Is(u.err, io.EOF) && !u.completedLate:
		return outcome.Open
	case errors.Is(u.err, io.EOF):
		if how := <-c.written; how != outcome.Open {
			return how
		}
		c.upload = nil
		c.markIdle()
		return outcome.Open
	}
	c.server.dispatcher.ClientGone(r)
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, http1.ErrMalformed) {
		return outcome.MalformedRequest
	}
	return outcome.ClientGone
}

// dropUpload reads and drops what is left of a body whose request has been answered.
func (c *conn) dropUpload() outcome.Kind {
	u := c.upload
	if errors.Is(u.err, errAnsweredEarly) {
		c.pace = u.pace
		c.socket.ExtendReadDeadline(u.pace.Deadline(time.Now()))
		_, err := io.Copy(io.Discard, u.body)
		c.pace = nil
		if err != nil || !c.socket.MarkBusy() || c.socket.SetReadDeadline(time.Time{}) != nil {
			return outcome.MalformedRequest
		}
	}
	c.upload = nil
	c.markIdle()
	return outcome.Open
}
