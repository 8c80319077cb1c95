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

// stage is how far an attempt has come.
type stage uint8

const (
	stageConnecting       stage = iota
	stageLastByteHeld           // all but its last byte may have been written
	stageWriting                // from here on its last byte may have been written
	stageAwaitingResponse       // its last byte is written
	stageEnded
)

// attempt is one attempt or one probe, the upstream.Attempt of this protocol. It ends exactly once: by the goroutine of its
// connection, or by Cancel or Withdraw; the first of them wins.
type attempt struct {
	endpoint   *endpoint
	message    []byte
	isProbe    bool
	request    *request.Request // nil for a probe
	bodiless   bool             // its answer has no body, whatever the header says
	onEnd      func(upstream.Result)
	upload     request.Upload  // what follows message; nil = nothing
	onBodySent func()          // called when the last byte of a streamed body is written
	pause      time.Duration   // before the last byte, on the present connection
	pauseOnNew time.Duration   // likewise, on a new one
	ctx        context.Context // ends with the attempt
	cancel     context.CancelFunc

	// How its connections did, for the estimator. The goroutine of its connection writes them.
	use      connUse       // the connection that it was sent on
	dialTime time.Duration // of the connection, if it was new
	deadConn *deadConn     // a reused connection that was found dead before; nil = there was none

	deadline    time.Time     // when this process stops waiting; zero = a probe, or the client is still sending
	timeoutSent time.Duration // the server is given, in message

	mu      sync.Mutex
	stage   stage
	conn    *conn
	startBy invariant.Limit // on the first byte
	expires invariant.Limit // on the first byte and the last
}

// firstByteLimit bounds the first byte to a server that drains.
func firstByteLimit(startBy time.Time) invariant.Limit {
	return invariant.NewLimit(startBy, staleness.FirstByteLead+invariant.SocketSlack)
}

// begin moves the attempt to its first byte, or says why that may not be written.
func (a *attempt) begin(conn *conn) outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if how := a.expiredOrForbidden(now, true); how != outcome.Open {
		return how
	}
	a.refreshDeadline(now)
	a.conn = conn
	a.use = conn.use
	if !conn.use.isKept() {
		a.dialTime = conn.dialTime
	}
	a.stage = stageWriting
	if a.lastByteApart() {
		a.stage = stageLastByteHeld
	}
	return outcome.Open
}

// lastByteApart reports whether the last byte is written by itself, after a look for what has come in.
func (a *attempt) lastByteApart() bool {
	return len(a.message) > chunkSize || a.pause > 0 || a.upload != nil
}

// releaseLastByte moves the attempt to its last byte, or says why that may not be written.
func (a *attempt) releaseLastByte() outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	how := a.expiredOrForbidden(time.Now(), false)
	if how == outcome.Open {
		a.stage = stageWriting
	}
	return how
}

// rewind takes the attempt back to where it has no connection, unless it has ended meanwhile, has lost one before or can't be sent
// again. Its next connection is new.
func (a *attempt) rewind(d deadConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isOver() || a.deadConn != nil || a.upload != nil && a.upload.Consumed() {
		return false
	}
	a.stage = stageConnecting
	a.conn = nil
	a.deadConn = &d
	return true
}

// markSent notes that the last byte is written, and reports whether the attempt still waits for its answer.
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

// StartBy forbids a first byte later than t.
func (a *attempt) StartBy(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startBy.GuardAt.IsZero() || t.Before(a.startBy.GuardAt) {
		a.startBy = firstByteLimit(t)
	}
}

// Cancel gives the attempt up. Its connection is closed when Cancel returns, so that no later attempt can run beside this one. False
// means that it had ended already and its Result is on the way.
func (a *attempt) Cancel(why outcome.Kind) (outcome.Kind, bool) {
	return a.abort(why, stageAwaitingResponse)
}

// Withdraw is Cancel for an attempt whose last byte is not written.
func (a *attempt) Withdraw(why outcome.Kind) (outcome.Kind, bool) {
	return a.abort(why, stageLastByteHeld)
}

// abort ends the attempt unless it has gone beyond lastStage.
func (a *attempt) abort(why outcome.Kind, lastStage stage) (outcome.Kind, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage > lastStage {
		return outcome.Open, false
	}
	if a.stage <= stageLastByteHeld {
		why = why.Unsent()
	}
	a.stage = stageEnded
	a.cancel()
	if a.conn != nil {
		a.conn.close()
	}
	return why, true
}
