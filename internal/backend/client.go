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
	"sync"
	"sync/atomic"
	"time"
)

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
	ctx      context.Context
	budget   *connlimit.Budget
	settings Settings
	figures  atomic.Pointer[Figures]
	wg       sync.WaitGroup

	mu           sync.Mutex      // of all that follows, and of what endpoints keep
	estimator    *keepalive.Book // of how connections break
	idleOutcomes outcome.Counts  // how kept connections have ended
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
	c := &Caller{ctx: ctx, budget: budget, settings: set, estimator: book}
	c.Reconfigure(set.Figures)
	return c, nil
}

// Reconfigure goes by other figures from the next call on.
func (c *Caller) Reconfigure(f Figures) { c.figures.Store(&f) }

// Wait returns when the last goroutine has ended, which it does soon after the context's end.
func (c *Caller) Wait() { c.wg.Wait() }

// Idle counts how kept connections have ended so far.
func (c *Caller) Idle() outcome.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleOutcomes
}

// Forget drops a provider that is gone for good, as a upstream.Caller does.
func (c *Caller) Forget(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Forget(server)
}

// State returns what was learned of how connections break.
func (c *Caller) State(now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.State(now)
}

// Restore takes what State returned.
func (c *Caller) Restore(now time.Time, state []byte, age time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Restore(now, state, age)
}

// Endpoint returns a provider's process at address.
func (c *Caller) Endpoint(server, address string) upstream.Endpoint {
	return &endpoint{client: c, name: server, address: address}
}

func (c *Caller) trace(format string, args ...any) {
	if c.settings.Trace != nil {
		c.settings.Trace(format, args...)
	}
}
