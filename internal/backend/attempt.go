package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
)

// stage is the progress of an attempt.
type stage uint8

const (
	stageConnecting       stage = iota
	stageLastByteHeld           // everything but the last byte of the message may have been written
	stageWriting                // the last byte may have been written
	stageAwaitingResponse       // the last byte is written
	stageEnded
)

// attempt is one attempt or one probe, the upstream.Attempt for HTTP/1.1. It is ended exactly once, by the goroutine of its
// connection or by Cancel or Withdraw, whichever is first.
type attempt struct {
	endpoint   *endpoint
	message    []byte
	isProbe    bool
	request    *request.Request // nil for a probe
	bodiless   bool             // the response has no body, even if its header describes one, as for HEAD
	onEnd      func(upstream.Result)
	upload     request.Upload               // the rest of the body, which follows message; nil = message is complete
	onBodySent func(heldBack time.Duration) // see upstream.AttemptOptions
	onResponse func()                       // see upstream.AttemptOptions; nil once it was called
	responseBy time.Time                    // see upstream.AttemptOptions
	heldBack   time.Duration                // how long the server has held back a body of which the client may have written all
	timeout    time.Duration                // with upload: how long the client waits after it has written the body
	pause      time.Duration                // how long the last byte is held back on the current connection; 0 = not at all
	pauseOnNew time.Duration                // how long it is held back on a new connection; 0 = not at all
	ctx        context.Context              // ends with the attempt
	cancel     context.CancelFunc

	// What the estimator learns from the attempt's connections. Written by the goroutine of the current connection.
	use      connUse       // how the connection was used before the attempt was sent on it
	dialTime time.Duration // how long it took to establish the connection; zero = it was reused
	deadConn *deadConn     // the reused connection that was found dead and replaced; nil = there was none

	deadline    time.Time     // when the attempt is cancelled; zero = a probe, or a body that the client is still sending
	timeoutSent time.Duration // the timeout in the deadline header of message

	responseBegun atomic.Bool // the response that may serve the request has begun

	mu      sync.Mutex
	stage   stage
	conn    *conn
	startBy invariant.Limit // when the first byte must be written at the latest
	expires invariant.Limit // when the first and the last byte must be written at the latest
}

// firstByteLimit returns the limit on writing the first byte to a server that drains at startBy.
func firstByteLimit(startBy time.Time) invariant.Limit {
	return invariant.NewLimit(startBy, staleness.FirstByteLead+invariant.SocketSlack)
}

// begin assigns the connection to the attempt before its first byte is written, or returns why that may not be written.
func (a *attempt) begin(conn *conn) outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if kind := a.checkWriteAllowed(now, true); kind != outcome.Open {
		return kind
	}
	a.refreshDeadline(now)
	a.conn = conn
	a.use = conn.use
	if !conn.use.isReused() {
		a.dialTime = conn.dialTime
	}
	a.stage = stageWriting
	if a.holdsBackLastByte() {
		a.stage = stageLastByteHeld
	}
	return outcome.Open
}

// holdsBackLastByte reports whether the last byte is written separately, after a check that nothing was received.
func (a *attempt) holdsBackLastByte() bool {
	return len(a.message) > chunkSize || a.pause > 0 || a.upload != nil
}

// releaseLastByte permits writing the last byte and returns Open, or returns why it may not be written.
func (a *attempt) releaseLastByte() outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := a.checkWriteAllowed(time.Now(), false)
	if kind == outcome.Open {
		a.stage = stageWriting
	}
	return kind
}

// resetForNewConn resets the attempt to stageConnecting, so that it can be sent on a new connection. It returns false if the
// attempt has ended, its client is gone, it has lost a connection before, or part of its streamed body is consumed, so that
// it can't be sent again.
func (a *attempt) resetForNewConn(d deadConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isEndedOrClientGone() || a.deadConn != nil || a.upload != nil && a.upload.Consumed() {
		return false
	}
	a.stage = stageConnecting
	a.conn = nil
	a.deadConn = &d
	return true
}

// markSent records that the last byte is written, and reports whether the attempt still waits for its response.
func (a *attempt) markSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == stageEnded {
		return false
	}
	a.stage = stageAwaitingResponse
	if onSent := a.endpoint.client.settings.OnSent; onSent != nil && !a.isProbe {
		onSent()
	}
	return true
}

// ResponseBegun reports whether the server has begun to respond, so that the attempt's timeout no longer applies.
func (a *attempt) ResponseBegun() bool { return a.responseBegun.Load() }

// reportResponding reports once that the response has begun but is not complete.
func (a *attempt) reportResponding() {
	if report := a.onResponse; report != nil {
		a.onResponse = nil
		report()
	}
}

// StartBy forbids writing the first byte after t.
func (a *attempt) StartBy(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startBy.GuardAt.IsZero() || t.Before(a.startBy.GuardAt) {
		a.startBy = firstByteLimit(t)
	}
}

// Cancel ends the attempt, and returns its outcome and true. The attempt's connection is closed when Cancel returns, so that
// nothing more of the attempt reaches the server while a later attempt is in flight. False means that the attempt has already
// ended: its Result has been reported or is about to be.
func (a *attempt) Cancel(reason outcome.Kind) (outcome.Kind, bool) {
	return a.abort(reason, stageAwaitingResponse)
}

// Withdraw is Cancel for an attempt whose last byte is not written. It returns false if that byte may have been written.
func (a *attempt) Withdraw(reason outcome.Kind) (outcome.Kind, bool) {
	return a.abort(reason, stageLastByteHeld)
}

// abort ends the attempt, and returns its outcome and true; it returns false if the attempt's stage is beyond lastStage.
func (a *attempt) abort(reason outcome.Kind, lastStage stage) (outcome.Kind, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage > lastStage {
		return outcome.Open, false
	}
	if a.stage <= stageLastByteHeld {
		reason = reason.Unsent()
	}
	a.stage = stageEnded
	a.cancel()
	if a.conn != nil {
		a.conn.close()
	}
	return reason, true
}
