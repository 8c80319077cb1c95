// Package backend makes invoker calls and probes to the providers and keeps each provider's connections.
package backend

import (
	"cmp"
	"context"
	"errors"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/invariant"
	"plankrouter/internal/loadreport"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/transient"
	"plankrouter/internal/upstream"
	"strconv"
	"sync"
	"syscall"
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

// result is how a carried call ended.
type result struct {
	upstream.Result
	flow  *download     // the rest of its answer; nil = there is none
	early bool          // with Unwritten: the connection broke before the call's last byte was written
	took  time.Duration // with early, from the first byte until it broke; with ResetByPeer, from the last
}

// rewordAfter is the time after which a message that tells a deadline is worded anew.
const rewordAfter = 10 * time.Millisecond

// word words the task for the endpoint.
func (e *endpoint) word(t upstream.AttemptOptions) *call {
	c := &call{
		at: e, done: t.OnEnd, inv: t.Request, notAfter: firstByte(t.StartBy),
		expires: invariant.NewLimit(t.Expires, invariant.SocketSlack),
	}
	inv := t.Request
	if inv == nil {
		c.probe, c.message = true, http1.AppendRequest(nil, "GET", http1.PathLoad, e.address, nil, nil)
		return c
	}
	c.bodiless = inv.Method == "HEAD"
	wait := t.Timeout
	if c.upload, c.flowed = inv.Remainder, t.OnBodySent; c.upload == nil { // else its client's time has not begun
		now := time.Now()
		if c.endsAt = t.Deadline; c.endsAt.IsZero() {
			c.endsAt = now.Add(wait)
		}
		wait = c.endsAt.Sub(now)
	}
	c.compose(wait)
	return c
}

// compose words the message, which tells the server how long this process waits.
func (c *call) compose(wait time.Duration) {
	inv := c.inv
	c.told = max(wait, time.Millisecond)
	fields := append([]request.Field{
		{Name: http1.HeaderID, Value: inv.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(c.told.Seconds(), 'f', 3, 64)},
	}, inv.Fields...)
	length := int64(len(inv.Body))
	if c.upload != nil {
		if length += c.upload.Length(); c.upload.Length() < 0 {
			length = -1
		}
	}
	c.message = http1.AppendLongRequest(nil, inv.Method, inv.Target, cmp.Or(inv.Host, c.at.address), fields, inv.Body, length)
}

// reword words the message anew if the deadline in it is out of date, as after a connection that was long in coming up.
func (c *call) reword(now time.Time) {
	if c.endsAt.IsZero() {
		return
	}
	if left := c.endsAt.Sub(now); c.told-left > rewordAfter {
		c.compose(left)
	}
}

// run opens a connection for the call and stays with it until it ends. A call that finds it dead when it was to be
// carried, before the last byte was sent, gets another one: it can't have run.
func (v *Caller) run(c *call) {
	for c != nil {
		c.hold = c.fresh
		began := time.Now()
		dial := v.budget.Dial
		if c.probe {
			dial = v.budget.DialOptional
		}
		socket, err := dial(c.ctx, c.at.address, v.now.Load().Connect)
		if err != nil {
			how := dialEnding(err)
			v.trace("trace=dial provider=%s ending=%s took_ms=%.1f", c.at.name, how, time.Since(began).Seconds()*1e3)
			v.end(c, result{Result: upstream.Result{Outcome: how}})
			return
		}
		name := c.at.name
		v.trace("trace=dial provider=%s ending=%s took_ms=%.1f", name, outcome.Open, time.Since(began).Seconds()*1e3)
		conn := newConn(socket, c.at)
		conn.since = time.Now()
		conn.dialed = conn.since.Sub(began)
		stop := context.AfterFunc(v.ctx, conn.close)
		c = v.serve(conn, c)
		stop()
		v.trace("trace=closed provider=%s", name)
		http1.Free(conn.br)
	}
}

func (v *Caller) trace(format string, args ...any) {
	if v.set.Trace != nil {
		v.set.Trace(format, args...)
	}
}

// serve carries calls on the connection until it ends, and returns the one that it could not begin.
func (v *Caller) serve(conn *conn, c *call) *call {
	if !conn.socket.Quiet() { // a provider that speaks first is no HTTP server
		conn.close()
		v.end(c, result{Result: upstream.Result{Outcome: outcome.PartlyWritten}})
		return nil
	}
	for {
		var untold *result
		switch e := c.begin(conn); e {
		case outcome.Open:
			r, again := conn.carry(c)
			r.ConnectedAt = conn.since
			if !again && conn.foundDead(c, &r) && c.rewind(dead{conn.use, c.hold, r.took, r.early}) {
				conn.close()
				return c
			}
			conn.use.carried++
			// The call ends before its connection is kept for another: once it has ended, Stop can't close that. It is told
			// after that, unless a long answer still holds the connection: a call that follows from it is to find that.
			ended := v.settle(c, &r)
			switch {
			case ended && r.flow != nil:
				c.done(r.Result)
				again = r.flow.wait(v.ctx) && again
			case ended && !again:
				c.done(r.Result)
			default:
				untold = &r
			}
			if !ended || !again {
				conn.close()
				return nil
			}
		default: // nobody waits for it, or it is too late: another call may use the connection
			v.end(c, result{Result: upstream.Result{Outcome: e}})
		}
		v.keep(conn)
		if untold != nil {
			c.done(untold.Result)
		}
		next, how := conn.idle()
		if how != outcome.Open {
			conn.close()
			v.drop(conn, how)
			return next
		}
		c = next
	}
}

func dialEnding(err error) outcome.Kind {
	is := func(target error) bool { return errors.Is(err, target) }
	switch {
	case is(connlimit.ErrLimitReached):
		return outcome.ConnectionLimit
	case transient.IsLocal(err), is(syscall.EACCES), is(syscall.EPERM): // nothing has left this machine: it says nothing of the provider
		return outcome.LocalError
	case is(os.ErrDeadlineExceeded), is(context.DeadlineExceeded):
		return outcome.ConnectTimeout
	}
	return outcome.ConnectRefused
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

// over reports whether nothing of the call may be written any more: it looks whether its consumer is there at this moment. It is
// called with mu held.
func (c *call) over() bool { return c.stage == ended || c.inv != nil && c.inv.CheckClientGone() }

// barred is the guard of all that is written of a call: it says why neither the first nor the last byte may be; Open = it may. It
// is called with mu held.
func (c *call) barred(now time.Time, first bool) outcome.Kind {
	rules := c.at.of.set.Rules
	switch {
	case c.stage == ended:
		return outcome.Withdrawn
	case c.over():
		rules.Prevented(invariant.ClientGone)
		return outcome.Withdrawn
	case c.expires.GuardPassed(now):
		rules.Prevented(invariant.RepeatWindow)
		return outcome.Expired
	case first && c.notAfter.GuardPassed(now): // the list said so while the connection came up
		rules.Prevented(invariant.DrainGrace)
		return outcome.ServerDraining
	case !c.endsAt.IsZero() && !now.Before(c.endsAt): // it is about to be stopped
		return outcome.Withdrawn
	}
	return outcome.Open
}

// check looks, once the first byte or the last one is written, whether that was in time: what was held up since its guard has
// asked got past it.
func (c *call) check(first bool) {
	if c.inv == nil {
		return
	}
	rules, now := c.at.of.set.Rules, time.Now()
	if late := c.inv.ClientGoneFor(now); late > invariant.ClientGoneGrace {
		rules.Violated(invariant.ClientGone, "request=%q provider=%s late_ms=%.1f", c.inv.ID, c.at.name, late.Seconds()*1e3)
	}
	c.mu.Lock()
	notAfter, expires := c.notAfter, c.expires
	c.mu.Unlock()
	if expires.ViolatedAt(now) {
		rules.Violated(invariant.RepeatWindow, "request=%q provider=%s", c.inv.ID, c.at.name)
	}
	if first && notAfter.ViolatedAt(now) {
		rules.Violated(invariant.DrainGrace, "request=%q provider=%s", c.inv.ID, c.at.name)
	}
	if c.upload != nil { // its client does not wait yet
		return
	}
	if left := c.inv.Timeout - now.Sub(c.inv.SentAt); c.told > left+invariant.DeadlineSlack {
		rules.Violated(invariant.Deadline, "request=%q provider=%s told_ms=%d left_ms=%d", c.inv.ID, c.at.name,
			c.told.Milliseconds(), left.Milliseconds())
	}
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

// end reports the result unless the call has ended before.
func (v *Caller) end(c *call, r result) {
	if v.settle(c, &r) {
		c.done(r.Result)
	}
}

// settle ends the call with a result that is still to be told, unless it has ended before.
func (v *Caller) settle(c *call, r *result) bool {
	c.mu.Lock()
	if c.stage == ended {
		c.mu.Unlock()
		return false
	}
	c.stage = ended
	c.cancel()
	c.mu.Unlock()
	v.learn(c, r)
	return true
}

// resultOf reads an answer for what it says to the decision module.
func (c *call) resultOf(r *http1.Response) upstream.Result {
	out := upstream.Result{Outcome: outcome.ServerError, Body: r.Body}
	switch {
	case r.Status == 200, !c.probe && c.at.of.set.Answers != nil && c.at.of.set.Answers(r.Status):
		out.Outcome, out.StatusCode = outcome.Served, r.Status
		out.Fields = r.Header.EndToEnd(ownHeader)
		if length := r.Header.Get("Content-Length"); c.bodiless && length != "" { // it says what a body would have had
			out.Fields = append(out.Fields, http1.Field{Name: "Content-Length", Value: length})
		}
	case (r.Status == 503 || r.Status == 504) && r.Header.Get(http1.HeaderDeclined) == "1":
		out.Outcome = outcome.Declined
	}
	if load := r.Header.Get(http1.HeaderLoad); load != "" {
		out.Report = loadreport.Parse([]byte(load))
	}
	if c.probe && out.Outcome == outcome.Served { // without it the module would judge by its own durations alone
		out.Report = loadreport.Parse(r.Body)
	}
	return out
}

// ownHeader: between sidecar and provider only.
func ownHeader(name string) bool { return name == http1.HeaderLoad || name == http1.HeaderDeclined }
