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
	connecting stage = iota
	holding          // its last byte is still here
	writing          // from here on its last byte may have been written
	waiting          // its last byte is written
	ended
)

// call is one invoker call or one probe, the upstream.Call of this protocol. It ends exactly once: by the goroutine that
// carries it, or by Stop; the first of them wins.
type call struct {
	at       *endpoint
	message  []byte
	probe    bool
	inv      *request.Request // nil = none: a probe
	bodiless bool             // its answer has no body, whatever it says
	done     func(upstream.Result)
	upload   request.Upload  // what follows message; nil = nothing
	flowed   func()          // told when its last byte is written
	hold     time.Duration   // of the last byte, on the present connection
	fresh    time.Duration   // likewise, on a new one
	ctx      context.Context // ends with the call
	cancel   context.CancelFunc

	// How its connections did, for the book. The goroutine that carries it writes them.
	use    use           // the connection that carried it
	dialed time.Duration // the connection took so long to come up, if it was new
	dead   *dead         // a kept connection that was found dead before; nil = there was none

	endsAt time.Time     // when this process stops waiting; zero = its client's time has not begun, or it has no client
	told   time.Duration // the deadline in message

	mu       sync.Mutex
	stage    stage
	conn     *conn
	notAfter invariant.Limit // on the first byte
	expires  invariant.Limit // on the first byte and the last
}

// firstByte is the limit on a first byte that a drain's grace leaves.
func firstByte(notAfter time.Time) invariant.Limit {
	return invariant.NewLimit(notAfter, staleness.FirstByteLead+invariant.SocketSlack)
}

// begin moves the call to its first byte, unless it has ended or its provider no longer wants it.
func (c *call) begin(conn *conn) outcome.Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if e := c.barred(now, true); e != outcome.Open {
		return e
	}
	c.reword(now)
	c.conn, c.use = conn, conn.use
	if !conn.use.kept() {
		c.dialed = conn.dialed
	}
	if c.stage = writing; c.inParts() {
		c.stage = holding
	}
	return outcome.Open
}

// inParts reports whether the last byte is written by itself, so that what comes in before it is seen to.
func (c *call) inParts() bool { return len(c.message) > lump || c.hold > 0 || c.upload != nil }

// release moves the call to its last byte, or says why that may not be written.
func (c *call) release() outcome.Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.barred(time.Now(), false)
	if e == outcome.Open {
		c.stage = writing
	}
	return e
}

// rewind takes the call back to where it has no connection, unless it has ended meanwhile or lost one before. The next one
// is new.
func (c *call) rewind(d dead) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over() || c.dead != nil || c.upload != nil && c.upload.Consumed() {
		return false
	}
	c.stage, c.conn, c.dead = connecting, nil, &d
	return true
}

// written notes that the last byte is written, and reports whether the call still waits for its answer.
func (c *call) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == ended {
		return false
	}
	c.stage = waiting
	if told := c.at.of.set.Written; told != nil && !c.probe {
		told()
	}
	return true
}

// StartBy forbids a first byte later than t.
func (c *call) StartBy(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notAfter.GuardAt.IsZero() || t.Before(c.notAfter.GuardAt) {
		c.notAfter = firstByte(t)
	}
}

// Cancel gives the call up. Its connection is closed when Stop returns, so that no later attempt can be out
// beside this one. False means that it had ended already and its Result is on the way.
func (c *call) Cancel(why outcome.Kind) (outcome.Kind, bool) { return c.giveUp(why, waiting) }

// Withdraw is Stop for a call whose last byte is not written.
func (c *call) Withdraw(why outcome.Kind) (outcome.Kind, bool) { return c.giveUp(why, holding) }

// giveUp ends the call unless it has come further than to that stage.
func (c *call) giveUp(why outcome.Kind, most stage) (outcome.Kind, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage > most {
		return outcome.Open, false
	}
	if c.stage <= holding {
		why = why.Unsent()
	}
	c.stage = ended
	c.cancel()
	if c.conn != nil {
		c.conn.close()
	}
	return why, true
}
