package backend

import (
	"context"
	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"sync"
	"time"
)

// stage is how far a call has come.
type stage uint8

const (
	stageConnecting       stage = iota
	stageLastByteHeld           // its last byte is still here
	stageWriting                // from here on its last byte may have been written
	stageAwaitingResponse       // its last byte is written
	stageEnded
)

// attempt is one invoker call or one probe, the upstream.Call of this protocol. It ends exactly once: by the goroutine that
// carries it, or by Stop; the first of them wins.
type attempt struct {
	endpoint   *endpoint
	message    []byte
	isProbe    bool
	request    *request.Request // nil = none: a probe
	bodiless   bool             // its answer has no body, whatever it says
	onEnd      func(upstream.Result)
	upload     request.Upload  // what follows message; nil = nothing
	onBodySent func()          // told when its last byte is written
	pause      time.Duration   // of the last byte, on the present connection
	pauseOnNew time.Duration   // likewise, on a new one
	ctx        context.Context // ends with the call
	cancel     context.CancelFunc

	// How its connections did, for the book. The goroutine that carries it writes them.
	use      connUse       // the connection that carried it
	dialTime time.Duration // the connection took so long to come up, if it was new
	deadConn *deadConn     // a kept connection that was found dead before; nil = there was none

	deadline    time.Time     // when this process stops waiting; zero = its client's time has not begun, or it has no client
	timeoutSent time.Duration // the deadline in message

	mu      sync.Mutex
	stage   stage
	conn    *conn
	startBy invariant.Limit // on the first byte
	expires invariant.Limit // on the first byte and the last
}

// firstByteLimit is the limit on a first byte that a drain's grace leaves.
func firstByteLimit(startBy time.Time) invariant.Limit {
	return invariant.NewLimit(startBy, staleness.FirstByteLead+invariant.SocketSlack)
}

// begin moves the call to its first byte, unless it has ended or its provider no longer wants it.
func (a *attempt) begin(conn *conn) outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if e := a.expiredOrForbidden(now, true); e != outcome.Open {
		return e
	}
	a.refreshDeadline(now)
	a.conn, a.use = conn, conn.use
	if !conn.use.isKept() {
		a.dialTime = conn.dialTime
	}
	if a.stage = stageWriting; a.lastByteApart() {
		a.stage = stageLastByteHeld
	}
	return outcome.Open
}

// lastByteApart reports whether the last byte is written by itself, so that what comes in before it is seen to.
func (a *attempt) lastByteApart() bool {
	return len(a.message) > chunkSize || a.pause > 0 || a.upload != nil
}

// releaseLastByte moves the call to its last byte, or says why that may not be written.
func (a *attempt) releaseLastByte() outcome.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.expiredOrForbidden(time.Now(), false)
	if e == outcome.Open {
		a.stage = stageWriting
	}
	return e
}

// rewind takes the call back to where it has no connection, unless it has ended meanwhile or lost one before. The next one
// is new.
func (a *attempt) rewind(d deadConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isOver() || a.deadConn != nil || a.upload != nil && a.upload.Consumed() {
		return false
	}
	a.stage, a.conn, a.deadConn = stageConnecting, nil, &d
	return true
}

// markSent notes that the last byte is written, and reports whether the call still waits for its answer.
func (a *attempt) markSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == stageEnded {
		return false
	}
	a.stage = stageAwaitingResponse
	if told := a.endpoint.client.settings.Written; told != nil && !a.isProbe {
		told()
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

// Cancel gives the call up. Its connection is closed when Stop returns, so that no later attempt can be out
// beside this one. False means that it had ended already and its Result is on the way.
func (a *attempt) Cancel(why outcome.Kind) (outcome.Kind, bool) {
	return a.abort(why, stageAwaitingResponse)
}

// Withdraw is Stop for a call whose last byte is not written.
func (a *attempt) Withdraw(why outcome.Kind) (outcome.Kind, bool) {
	return a.abort(why, stageLastByteHeld)
}

// abort ends the call unless it has come further than to that stage.
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
