package frontend

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// errRespondedEarly means that the body is no longer needed, because the response is written.
var errRespondedEarly = errors.New("response was written before the body was complete")

// upload is the request.Upload for the rest of a long body. The attempt in flight reads it directly from the client's
// connection, whose reader goroutine waits meanwhile.
type upload struct {
	conn           *conn
	body           *http1.Body
	pace           *streaming.Pace
	markClientGone func() // called once the client is gone or has sent a malformed body, so that the body will never be complete

	responseClaimed atomic.Bool // see claimResponse
	consumed        atomic.Bool
	attemptsStopped atomic.Bool   // stopAttemptReads was called: attempts may not read any more
	mu              sync.Mutex    // held during a Read
	err             error         // why no more is read; io.EOF = the body is complete, nil = more may follow
	done            chan struct{} // closed when err is set
	reported        bool          // see reportReceived

	state                  sync.Mutex // guards the fields below
	complete               bool       // the body was read to its end
	responded              bool       // the response was written
	completedAfterResponse bool       // the body was read to its end after the response was written
}

// Length returns the number of bytes left of the body; -1 = unknown.
func (u *upload) Length() int64 { return u.body.Length() }

// Consumed reports whether any of the body has been read.
func (u *upload) Consumed() bool { return u.consumed.Load() }

// ReceivedAgo returns how long ago the client's last bytes were received, and whether the whole body is known to have been.
func (u *upload) ReceivedAgo() (ago time.Duration, complete bool) {
	select {
	case <-u.done:
		complete = errors.Is(u.err, io.EOF)
	default:
		unread, known := u.conn.socket.Unread()
		complete = known && u.body.Length() > 0 && u.body.Length() <= int64(u.conn.reader.Buffered()+unread)
	}
	ago, known := u.conn.socket.SinceLastReceive()
	return ago, complete && known
}

// Read reads what has arrived of the body, and waits if nothing has.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && u.attemptsStopped.Load() {
		return 0, errRespondedEarly
	}
	if u.err != nil {
		return 0, u.err
	}
	u.consumed.Store(true)
	u.conn.pace = u.pace
	u.conn.socket.ExtendReadDeadline(u.pace.StartWaiting(time.Now()))
	n, err := u.body.Read(p)
	if err == nil && u.body.Length() == 0 {
		err = io.EOF
	}
	if u.attemptsStopped.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errRespondedEarly
	}
	if err != nil {
		u.conn.pace = nil
		u.finish(err)
	}
	return n, err
}

// finish records why no more is read. It is called with mu held.
func (u *upload) finish(err error) {
	if u.err != nil {
		return
	}
	u.err = err
	complete := errors.Is(err, io.EOF)
	if !complete && !errors.Is(err, errRespondedEarly) {
		u.markClientGone()
	}
	u.state.Lock()
	u.complete = complete
	u.completedAfterResponse = u.responded
	u.state.Unlock()
	u.conn.socket.SetReadDeadline(time.Time{})
	close(u.done)
}

// claimResponse reports whether the caller is to respond to the request. It returns true only once, because two may want to: the
// dispatcher, and the connection's reader if the body can't be read to its end.
func (u *upload) claimResponse() bool { return u.responseClaimed.CompareAndSwap(false, true) }

// markResponded records that the response is written, and reports whether the body had been read to its end.
func (u *upload) markResponded() bool {
	u.state.Lock()
	defer u.state.Unlock()
	u.responded = true
	return u.complete
}

// stopAttemptReads stops reads by attempts and waits for one in progress; from then on the connection's reader may read the
// body.
func (u *upload) stopAttemptReads() {
	u.attemptsStopped.Store(true)
	u.conn.socket.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn.pace = nil
	u.finish(errRespondedEarly)
}

// reportReceived reports once to the dispatcher that the whole body has been received, unless an attempt is reading it: then that
// attempt counts the time.
func (u *upload) reportReceived(r *request.Request) {
	if u.reported || !u.mu.TryLock() {
		return
	}
	ago, complete := u.ReceivedAgo()
	if !complete && ago >= r.Timeout-clientCheckInterval {
		complete = u.mayBeReceived()
	}
	u.mu.Unlock()
	if complete {
		u.reported = true
		u.conn.server.dispatcher.BodyReceived(r, ago)
	}
}

// mayBeReceived reports whether what was received and is not read yet may be the end of a body of unknown length.
func (u *upload) mayBeReceived() bool {
	unread, known := u.conn.socket.Unread()
	return known && u.body.Length() < 0 && u.conn.reader.Buffered()+unread >= len(http1.LastChunk)
}

// awaitUpload waits until the rest of the body has been read. An outcome other than Open means that the connection has ended.
// If the response is written first, the rest of the body is read and discarded, and c.upload is nil afterwards.
func (c *conn) awaitUpload(r *request.Request) outcome.Kind {
	u := c.upload
	u.reportReceived(r)
	check := time.Tick(clientCheckInterval) // while no attempt reads the body, nothing else detects that the client is gone
	for {
		select {
		case <-check:
			u.reportReceived(r)
			if c.socket.HasPeerClosed() {
				c.server.dispatcher.ClientGone(r)
				u.stopAttemptReads()
				return outcome.ClientGone
			}
		case <-u.done:
			return c.endUpload(r)
		case kind := <-c.written:
			u.stopAttemptReads() // before anything else, because an attempt must not read from a connection that has ended
			return c.discardUpload(kind)
		case <-c.server.stopped:
			u.stopAttemptReads()
			return outcome.ShuttingDown
		}
	}
}

// endUpload returns the outcome for a body that was read to its end or has failed.
func (c *conn) endUpload(r *request.Request) outcome.Kind {
	u := c.upload
	switch {
	case errors.Is(u.err, io.EOF) && !u.completedAfterResponse:
		return outcome.Open
	case errors.Is(u.err, io.EOF):
		if kind := <-c.written; kind != outcome.Open {
			return kind
		}
		c.upload = nil
		c.markIdle()
		return outcome.Open
	}
	c.traceIncomplete(r)
	c.server.dispatcher.ClientGone(r) // also of a client that is still there: no server may get the request's last byte
	status := c.rejectionStatus(u.err)
	if status == 0 {
		return outcome.ClientGone
	}
	return c.rejectIncomplete(status)
}

// rejectIncomplete responds to a request whose body will not be complete, unless the dispatcher has responded to it, and returns
// the outcome of the connection, which can't carry another request.
func (c *conn) rejectIncomplete(status int) outcome.Kind {
	if c.upload.claimResponse() {
		kind := c.writeDirectly(&http1.Response{Status: status, Close: true})
		c.metric.End(metrics.ClientGone) // as for a shorter body that stays incomplete, the request does not count as accepted
		return kind
	}
	if kind := <-c.written; kind != outcome.Open {
		return kind
	}
	return outcomeOfClose(status)
}

// traceIncomplete logs how far a body had got that will not be complete, and why it ended.
func (c *conn) traceIncomplete(r *request.Request) {
	if c.server.Trace == nil {
		return
	}
	u := c.upload
	now := time.Now()
	c.server.Trace("trace=upload request=%q received=%d since_start_ms=%d since_progress_ms=%d client_closed=%t err=%q", r.ID, u.pace.Received,
		now.Sub(u.pace.StartedAt).Milliseconds(), now.Sub(u.pace.LastProgress).Milliseconds(), c.socket.HasPeerClosed(), u.err)
}
