// Package backend sends attempts and probes to the servers over HTTP/1.1, and keeps each server's idle connections.
package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
	"plankrouter/internal/streaming"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// ReloadableSettings are the settings that may change while a Client works.
type ReloadableSettings struct {
	Connect    time.Duration           // for a connection to come up
	ConnIdle   time.Duration           // after which a server closes an idle one
	RetryCosts []keepalive.AttemptCost // by class of requests
}

// Settings are what a Caller works by.
type Settings struct {
	ReloadableSettings
	Trace      func(format string, args ...any) // logs a line for every dial and for the end of every connection; nil = none
	OnSent     func()                           // called for each attempt at a request, not a probe, once its last byte is written; nil = nothing is
	Bounds     *streaming.Bounds                // of bodies that are streamed; nil = none is: an answer beyond 64 KiB is malformed
	IsServed   func(status int) bool            // whether an answer with the status serves the request; nil = 200 alone does
	Invariants *invariant.Recorder              // counts what was prevented and what got past; nil = nothing is counted
}

// RetryCosts are the costs of a broken connection to a request, by the policy's classes.
func RetryCosts(classes []policy.Class) (out []keepalive.AttemptCost) {
	for _, c := range classes {
		objective := time.Duration(c.LatencyObjective * float64(time.Millisecond))
		out = append(out, keepalive.AttemptCost{NonIdempotent: c.Idempotency == policy.NonIdempotent, LatencyObjective: objective, PriorityWeight: c.PriorityWeight})
	}
	return out
}

// Client is the upstream.Upstream of HTTP/1.1. Its methods and its endpoints may be used by any goroutine.
type Client struct {
	ctx      context.Context
	budget   *connlimit.Budget
	settings Settings
	figures  atomic.Pointer[ReloadableSettings]
	wg       sync.WaitGroup

	mu           sync.Mutex           // guards what follows, and the endpoints' idle connections
	estimator    *keepalive.Estimator // of how connections break
	idleOutcomes outcome.Counts       // how idle connections have ended
}

// New returns a Caller whose connections end with ctx.
func New(ctx context.Context, budget *connlimit.Budget, settings Settings) (*Client, error) {
	// A retry draws on a budget of one in ten requests, which is used up where connections break often; a handshake is a small
	// part of a request's work.
	costs := keepalive.Default()
	costs.HandshakeCost = 0.01
	costs.RetryCost = 0.3
	estimator, err := keepalive.New(costs)
	if err != nil {
		return nil, err
	}
	c := &Client{ctx: ctx, budget: budget, settings: settings, estimator: estimator}
	c.Reconfigure(settings.ReloadableSettings)
	return c, nil
}

// Reconfigure replaces the reloadable settings from the next attempt on.
func (c *Client) Reconfigure(f ReloadableSettings) { c.figures.Store(&f) }

// Wait returns when the last goroutine has ended, soon after the context.
func (c *Client) Wait() { c.wg.Wait() }

// IdleOutcomes counts how idle connections have ended so far.
func (c *Client) IdleOutcomes() outcome.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleOutcomes
}

// Forget drops what was learned of a server that is gone for good.
func (c *Client) Forget(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.RemoveServer(server)
}

// State returns what was learned of how connections break.
func (c *Client) State(now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.State(now)
}

// Restore takes what State returned.
func (c *Client) Restore(now time.Time, state []byte, age time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Restore(now, state, age)
}

// Endpoint returns a server's process at address.
func (c *Client) Endpoint(server, address string) upstream.Endpoint {
	return &endpoint{client: c, name: server, address: address}
}

func (c *Client) trace(format string, args ...any) {
	if c.settings.Trace != nil {
		c.settings.Trace(format, args...)
	}
}
