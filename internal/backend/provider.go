// Package backend is the HTTP caller: it makes invoker calls and probes to the providers and keeps each provider's
// connections.
package backend

import (
	"context"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
	"plankrouter/internal/streaming"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	retirePart = 0.8 // of the time after which a provider closes an idle connection
	mostPassed = 4   // kept connections that a call may pass over before it gets a new one: the others are older still
)

// probeStakes are those of a probe: it may run again, and it is not worth much.
var probeStakes = keepalive.Stakes{Worth: 0.05}

// Figures are those of the deployment that may change while a Caller works.
type Figures struct {
	Connect  time.Duration      // within which a connection has to come up
	ConnIdle time.Duration      // after which a provider closes an idle one
	Stakes   []keepalive.Stakes // by class of invocations
}

// Settings are what a Caller is told.
type Settings struct {
	Figures
	Trace   func(format string, args ...any) // logs a line for every connection, as it comes up or not and as it ends; nil = none
	Written func()                           // told of each attempt at an invocation whose last byte is written; nil = nobody is
	Bounds  *streaming.Bounds                // of bodies that flow; nil = none does: those beyond 64 KiB are malformed
	Answers func(status int) bool            // which statuses are a served request's; nil = 200 alone
	Rules   *invariant.Recorder              // of what was held back and what got past; nil = nobody counts
}

// Stakes are what the requests of the module's classes put at risk.
func Stakes(classes []policy.Class) (out []keepalive.Stakes) {
	for _, c := range classes {
		aim := time.Duration(c.LatencyObjective * float64(time.Millisecond))
		out = append(out, keepalive.Stakes{Once: c.Idempotency == policy.NonIdempotent, Aim: aim, Worth: c.PriorityWeight})
	}
	return out
}

// Caller is the upstream.Caller of HTTP/1.1. Beside what that says, its endpoints may belong to any goroutine.
type Caller struct {
	ctx    context.Context
	budget *connlimit.Budget
	set    Settings
	now    atomic.Pointer[Figures]
	wg     sync.WaitGroup

	mu   sync.Mutex      // of all that follows, and of what endpoints keep
	book *keepalive.Book // of how connections break
	idle outcome.Counts  // how kept connections have ended
}

// New returns a Caller whose connections end with ctx.
func New(ctx context.Context, budget *connlimit.Budget, set Settings) (*Caller, error) {
	// A retry draws on a budget of one in ten requests, so that where connections break often there is none left for it; a
	// handshake is a small part of a request's work.
	prices := keepalive.Default()
	prices.Handshake, prices.Retry = 0.01, 0.3
	book, err := keepalive.New(prices)
	if err != nil {
		return nil, err
	}
	v := &Caller{ctx: ctx, budget: budget, set: set, book: book}
	v.Reconfigure(set.Figures)
	return v, nil
}

// Reconfigure goes by other figures from the next call on.
func (v *Caller) Reconfigure(f Figures) { v.now.Store(&f) }

// Wait returns when the last goroutine has ended, which it does soon after the context's end.
func (v *Caller) Wait() { v.wg.Wait() }

// Idle counts how kept connections have ended so far.
func (v *Caller) Idle() outcome.Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.idle
}

// Forget drops a provider that is gone for good, as a upstream.Caller does.
func (v *Caller) Forget(provider string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Forget(provider)
}

// State returns what was learned of how connections break.
func (v *Caller) State(now time.Time) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.State(now)
}

// Restore takes what State returned.
func (v *Caller) Restore(now time.Time, state []byte, age time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Restore(now, state, age)
}

// Endpoint returns a provider's process at address.
func (v *Caller) Endpoint(provider, address string) upstream.Endpoint {
	return &endpoint{of: v, name: provider, address: address}
}

// endpoint is one provider's process at one address, with its kept connections.
type endpoint struct {
	of            *Caller
	name, address string

	idle   []*conn // most lately used last; guarded by of.mu, like what follows
	closed bool
}

func (e *endpoint) Address() string { return e.address }

// Start sends the task on a kept connection or on a new one, as the book decides.
func (e *endpoint) Start(t upstream.AttemptOptions) upstream.Attempt {
	stakes := probeStakes
	if t.Request != nil {
		stakes = e.of.now.Load().Stakes[t.Request.Class]
	}
	c := e.word(t)
	e.of.start(c, chooser{e.of.book, time.Now(), e.name, stakes})
	return c
}

// bet decides on which connection a call goes and how it is written. It is asked with the Caller's lock held.
type bet interface {
	take(use) bool          // this kept connection, rather than another or a new one
	hold(use) time.Duration // for which the last byte is held back, to see whether the connection is dead
}

func (v *Caller) start(c *call, b bet) {
	c.ctx, c.cancel = context.WithCancel(v.ctx)
	v.mu.Lock()
	c.fresh = b.hold(use{})
	kept := c.at.offer(c, b)
	v.mu.Unlock()
	if !kept {
		v.wg.Go(func() { v.run(c) })
	}
}

// offer gives the call to the connection most lately used that the bet takes: the others grow idle and are retired.
func (e *endpoint) offer(c *call, b bet) bool {
	for at, passed := len(e.idle)-1, 0; at >= 0 && passed < mostPassed; at-- {
		k := e.idle[at]
		u := use{idle: time.Since(k.put), carried: k.use.carried}
		if !b.take(u) { // it may do for another call
			passed++
			continue
		}
		e.idle = slices.Delete(e.idle, at, at+1)
		c.hold = b.hold(u)
		if k.socket.MarkBusy() && !k.socket.IsEvicted() && k.offer(c) {
			return true
		}
		k.close()
	}
	return false
}

// keep lets the connection's endpoint use it again, for as long as a call with the least at stake would take it, which must
// end well before the provider closes it: a call that crosses that is reset, and may not be sent again if it may not run
// twice.
func (v *Caller) keep(c *conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	retire := v.book.Limit(now, c.at.name, probeStakes, time.Duration(retirePart*float64(v.now.Load().ConnIdle)))
	if c.at.closed || c.socket.SetReadDeadline(now.Add(retire)) != nil {
		c.close()
		return
	}
	c.socket.MarkIdle(0)
	c.put, c.until = now, now.Add(retire)
	c.at.idle = append(c.at.idle, c)
}

// drop forgets a connection that has ended while it was kept.
func (v *Caller) drop(c *conn, how outcome.Kind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.idle[how]++
	if at := slices.Index(c.at.idle, c); at >= 0 {
		c.at.idle = slices.Delete(c.at.idle, at, at+1)
	}
}

// Close closes all kept connections, and those to come: who answers at the address from now on is somebody else.
func (e *endpoint) Close() {
	e.of.mu.Lock()
	defer e.of.mu.Unlock()
	for _, c := range e.idle {
		c.close()
	}
	e.idle, e.closed = nil, true
}

// use is a connection as a call found it.
type use struct {
	idle    time.Duration // before the call
	carried int           // calls before that
}

func (u use) kept() bool { return u.carried > 0 || u.idle > 0 }

func (u use) of(provider string) keepalive.Use {
	return keepalive.Use{Provider: provider, Idle: u.idle, Carried: u.carried}
}

// dead is how a kept connection was found dead.
type dead struct {
	use
	held, took time.Duration // as in call and result
	early      bool
}

// chooser is the bet of the book.
type chooser struct {
	book     *keepalive.Book
	now      time.Time
	provider string
	stakes   keepalive.Stakes
}

func (c chooser) take(u use) bool          { return c.book.Take(c.now, u.of(c.provider), c.stakes) }
func (c chooser) hold(u use) time.Duration { return c.book.Hold(c.now, u.of(c.provider), c.stakes) }

// learn takes note of how the connections did on which a call was.
func (v *Caller) learn(c *call, r *result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, name := time.Now(), c.at.name
	if d := c.dead; d != nil {
		fate := keepalive.Broken
		if d.early {
			fate = keepalive.Early
		}
		v.book.Learn(now, d.of(name), fate, d.held, d.took)
	}
	if c.dialed > 0 {
		v.book.Dialed(name, c.dialed)
	}
	switch r.Outcome {
	case outcome.Served, outcome.ServerError, outcome.Declined, outcome.Malformed:
		v.book.Learn(now, c.use.of(name), keepalive.Answered, c.hold, 0)
	case outcome.ResetByPeer:
		v.book.Learn(now, c.use.of(name), keepalive.Broken, c.hold, r.took)
	case outcome.PartlyWritten:
		if r.early {
			v.book.Learn(now, c.use.of(name), keepalive.Early, c.hold, r.took)
		}
	}
}
