package backend

import (
	"context"
	"sync"
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
	stageLastByteHeld           // all but its last byte may have been written
	stageWriting                // its last byte may have been written
	stageAwaitingResponse       // its last byte is written
	stageEnded
)

// attempt is one attempt or one probe, the upstream.Attempt for HTTP/1.1. It is ended exactly once, by the goroutine of its
// connection or by Cancel or Withdraw, whichever is first.
type attempt struct {
	endpoint   *endpoint
	message    []byte
	isProbe    bool
	request    *request.Request // nil for a probe
	bodiless   bool             // its response has no body, whatever the header says
	onEnd      func(upstream.Result)
	upload     request.Upload  // the rest of the body, which follows message; nil = message is complete
	onBodySent func()          // called when the last byte of a streamed body is written
	pause      time.Duration   // before the last byte, on the current connection
	pauseOnNew time.Duration   // before the last byte, on a new connection
	ctx        context.Context // ends with the attempt
	cancel     context.CancelFunc

	// What the estimator learns from its connections. Written by the goroutine of its connection.
	use      connUse       // of the connection that it was sent on
	dialTime time.Duration // of its connection; zero = it was reused
	deadConn *deadConn     // the reused connection that was found dead and replaced; nil = there was none

	deadline    time.Time     // when it is cancelled; zero = a probe, or the client is still sending the body
	timeoutSent time.Duration // in the deadline header of message

	mu      sync.Mutex
	stage   stage
	conn    *conn
	startBy invariant.Limit // on writing the first byte
	expires invariant.Limit // on writing the first byte and the last
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

// resetForNewConn resets the attempt to its stage without a connection, so that it is sent on a new one. It returns false if
// the attempt has ended, has lost a connection before, or can't be sent again because part of its streamed body is consumed.
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

// StartBy forbids writing the first byte after t.
func (a *attempt) StartBy(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startBy.GuardAt.IsZero() || t.Before(a.startBy.GuardAt) {
		a.startBy = firstByteLimit(t)
	}
}

// Cancel ends the attempt. Its connection is closed when Cancel returns, so that nothing more of the attempt reaches the
// server while a later attempt is in flight. False means that it has already ended: its Result has been reported or is
// about to be.
func (a *attempt) Cancel(reason outcome.Kind) (outcome.Kind, bool) {
	return a.abort(reason, stageAwaitingResponse)
}

// Withdraw is Cancel for an attempt whose last byte is not written. It returns false if the byte may have been written.
func (a *attempt) Withdraw(reason outcome.Kind) (outcome.Kind, bool) {
	return a.abort(reason, stageLastByteHeld)
}

// abort ends the attempt unless its stage is beyond lastStage.
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
