package backend

import (
	"errors"
	"os"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
)

// chunkSize is what the kernel takes at once, in bytes. Only a larger message takes so long to write that an answer could come before
// its end.
const chunkSize = 8 << 10

const (
	// maxResponsePause is how long an answer that has begun may pause until its head and the beginning of its body are read. The
	// server has done its work by then: what is still missing, as behind a head that does not end or a length that is too
	// large, will not come.
	maxResponsePause = 400 * time.Millisecond
	// maxStreamStall is how long a streamed body may pause, in either direction.
	maxStreamStall = 5 * time.Second
)

// exchange sends the attempt on a connection that is quiet, and reads the answer. It reports how that ended, and whether the
// connection may be used again.
func (c *conn) exchange(a *attempt) (r result, reusable bool) {
	failed, sent := c.writeRequest(a)
	if !sent {
		return failed, false
	}
	sentAt := time.Now()
	response, err := c.readResponse(a)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return result{Result: upstream.Result{Outcome: outcome.Malformed}}, false
	case err != nil: // the kernel has taken the last byte: whether the request has run is not known
		return result{Result: upstream.Result{Outcome: outcome.ResetByPeer}, tookUntilBreak: time.Since(sentAt)}, false
	}
	r = result{Result: a.resultOf(response)}
	if response.Rest == nil {
		return r, !response.Close && c.reader.Buffered() == 0
	}
	if r.Outcome != outcome.Served { // nobody reads the rest
		return r, false
	}
	r.download = &download{Stream: response.Rest, conn: c, done: make(chan struct{})}
	r.Remainder = r.download
	return r, !response.Close
}

// writeRequest writes the whole request. If it is not sent, failed says why, or is empty if the attempt has ended meanwhile.
func (c *conn) writeRequest(a *attempt) (failed result, sent bool) {
	began := time.Now()
	lastPart, how := c.writeUpToLastByte(a)
	if how == outcome.PartlyWritten {
		return brokenEarly(began), false
	}
	if how == outcome.Open && a.lastByteApart() {
		how = a.releaseLastByte()
	}
	if how != outcome.Open { // nobody waits for it, or it is too late, and its last byte is not written
		return result{Result: upstream.Result{Outcome: how}}, false
	}
	if _, err := c.socket.Write(lastPart); err != nil {
		return brokenEarly(began), false
	}
	a.recordViolations(!a.lastByteApart())
	if !a.markSent() {
		return result{}, false
	}
	if a.upload != nil {
		a.onBodySent()
	}
	return result{}, true
}

// writeUpToLastByte writes what precedes the last byte, if that is written apart, and returns what is left to write. PartlyWritten
// says that the connection has broken, or that something has come in.
func (c *conn) writeUpToLastByte(a *attempt) (lastPart []byte, how outcome.Kind) {
	if a.upload != nil {
		lastPart, clientErr := c.streamBody(a)
		switch {
		case lastPart == nil && clientErr != nil: // the client has stopped sending
			return nil, outcome.Withdrawn
		case lastPart == nil:
			return nil, outcome.PartlyWritten
		}
		return lastPart, outcome.Open
	}
	if !a.lastByteApart() {
		return a.message, outcome.Open
	}
	last := len(a.message) - 1
	if _, err := c.socket.Write(a.message[:last]); err != nil {
		return nil, outcome.PartlyWritten
	}
	a.recordViolations(true)
	if !c.remainsQuiet(a.pause) {
		return nil, outcome.PartlyWritten
	}
	return a.message[last:], outcome.Open
}

// brokenEarly is the result of an attempt whose connection broke before the last byte was written: a part of a request can't have run.
func brokenEarly(began time.Time) result {
	return result{Result: upstream.Result{Outcome: outcome.PartlyWritten}, early: true, tookUntilBreak: time.Since(began)}
}

// readResponse reads the answer, or the beginning of a long one.
func (c *conn) readResponse(a *attempt) (*http1.Response, error) {
	bounds := a.endpoint.client.settings.Bounds
	if bounds == nil || a.isProbe {
		return http1.ReadResponse(c.reader, a.bodiless, c.setAnswering)
	}
	kept := 0
	defer func() { bounds.Release(kept) }()
	return http1.ReadStreamedResponse(c.reader, a.bodiless, c.setAnswering, func(n int) bool {
		if bounds.Reserve(n) {
			kept = n
		}
		return kept == n
	})
}

// foundDead reports whether the attempt has learned nothing but that its reused connection was dead, so that it may go on a new one. A
// request must not have been sent whole: whether to send that again is the policy's decision.
func (c *conn) foundDead(a *attempt, r *result) bool {
	return c.use.attempts > 0 && (r.early || a.isProbe && r.Outcome == outcome.ResetByPeer)
}
