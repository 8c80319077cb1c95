package backend

import (
	"errors"
	"os"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
)

// chunkSize is the number of bytes that the kernel accepts in one write. Only a larger message takes so long to write that a
// response could arrive before the end of the message is written.
const chunkSize = 8 << 10

// maxStreamStall is how long a streamed body may pause, in either direction. Peers may take seconds to read or write a piece of
// any size.
const maxStreamStall = 10 * time.Second

// exchange sends the attempt on a connection with nothing unread, and reads the response. It returns the result, and whether the
// connection may be reused.
func (c *conn) exchange(a *attempt) (r result, reusable bool) {
	c.received = 0
	failed, sent := c.writeRequest(a)
	if !sent {
		return failed, false
	}
	sentAt := time.Now()
	response, err := c.readResponse(a, sentAt)
	c.traceResponse(a, response, err, sentAt)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return result{Result: upstream.Result{Outcome: outcome.Malformed}}, false
	case err != nil: // the last byte was passed to the kernel: whether the request has run is unknown
		return result{Result: upstream.Result{Outcome: outcome.ResetByPeer}, timeToBreak: time.Since(sentAt)}, false
	}
	r = result{Result: a.resultOf(response)}
	if response.Rest == nil {
		return r, !response.Close && c.reader.Buffered() == 0
	}
	if r.Outcome != outcome.Served { // the rest is not forwarded to a client
		return r, false
	}
	r.download = &download{Stream: response.Rest, conn: c, done: make(chan struct{})}
	r.Remainder = r.download
	return r, !response.Close
}

// writeRequest writes the whole request. If it is not sent, failed is the reason, or empty if the attempt has ended meanwhile.
func (c *conn) writeRequest(a *attempt) (failed result, sent bool) {
	began := time.Now()
	lastPart, kind := c.writeUpToLastByte(a)
	if kind == outcome.PartlyWritten {
		return brokenBeforeLastByte(began), false
	}
	if kind == outcome.Open && a.holdsBackLastByte() {
		kind = a.releaseLastByte()
	}
	if kind != outcome.Open { // a guard has forbidden the last byte, which is not written
		return result{Result: upstream.Result{Outcome: kind}}, false
	}
	if _, err := c.socket.Write(lastPart); err != nil {
		return brokenBeforeLastByte(began), false
	}
	a.recordViolations(!a.holdsBackLastByte())
	if !a.markSent() {
		return result{}, false
	}
	if a.upload != nil {
		a.onBodySent(a.heldBack)
	}
	return result{}, true
}

// writeUpToLastByte writes what precedes the last byte, if that is written separately, and returns what is left to write.
// PartlyWritten means that the connection is broken, or that something was received.
func (c *conn) writeUpToLastByte(a *attempt) (lastPart []byte, kind outcome.Kind) {
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
	if !a.holdsBackLastByte() {
		return a.message, outcome.Open
	}
	last := len(a.message) - 1
	if _, err := c.socket.Write(a.message[:last]); err != nil {
		return nil, outcome.PartlyWritten
	}
	a.recordViolations(true)
	if !c.receivesNothingFor(a.pause) {
		return nil, outcome.PartlyWritten
	}
	return a.message[last:], outcome.Open
}

// brokenBeforeLastByte returns the result of an attempt whose connection broke before the last byte was written, so that it
// can't have run.
func brokenBeforeLastByte(began time.Time) result {
	return result{Result: upstream.Result{Outcome: outcome.PartlyWritten}, beforeLastByte: true, timeToBreak: time.Since(began)}
}

// readResponse reads the response, or the beginning of a long one. The attempt's last byte was written at sentAt.
func (c *conn) readResponse(a *attempt, sentAt time.Time) (*http1.Response, error) {
	options := http1.ResponseOptions{
		Bodiless: a.bodiless, OnBegun: func(begun bool) { c.setResponding(a, begun) },
		OnBody:     func(status int, sized bool) { c.startBody(a, sentAt, status, sized) },
		MayEndRead: func() bool { return c.hold.endsReading(time.Now()) },
		Reserve:    func(int) bool { return true },
	}
	bounds := a.endpoint.client.settings.Bounds
	if bounds == nil || a.isProbe {
		response, err := http1.ReadStreamedResponse(c.reader, options)
		if err == nil && response.Rest != nil && a.isServedBy(response.Status) {
			return nil, http1.ErrTooLarge
		}
		return response, err
	}
	reserved := 0
	defer func() { bounds.Release(reserved) }()
	options.Reserve = func(n int) bool {
		if bounds.Reserve(n) {
			reserved = n
		}
		return reserved == n
	}
	return http1.ReadStreamedResponse(c.reader, options)
}

// startBody sets what bounds the time for reading the body of a response. The body of an error is not forwarded, and may be left
// incomplete.
func (c *conn) startBody(a *attempt, sentAt time.Time, status int, sized bool) {
	now := time.Now()
	switch {
	case a.isProbe:
	case !a.isServedBy(status):
		a.responseBegun.Store(false)
		c.setHold(hold{mode: holdUntilPause, lastProgress: now})
	case !sized && a.endpoint.client.settings.Bounds != nil:
		c.setHold(newBodyHold(now, a.responseDue(sentAt), c.reader.Buffered() > 0))
	}
}

// foundDead reports whether the attempt failed only because its reused connection was dead, so that it may be sent on a new
// one. It returns false for a request that was sent completely: whether to retry that is the policy's decision.
func (c *conn) foundDead(a *attempt, r *result) bool {
	return c.use.attempts > 0 && (r.beforeLastByte || a.isProbe && r.Outcome == outcome.ResetByPeer)
}
