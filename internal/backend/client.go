// Package backend sends attempts and probes to the servers over HTTP/1.1, and pools each server's idle connections.
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

// ReloadableSettings are the settings that may change while a Client is in use.
type ReloadableSettings struct {
	ConnectTimeout    time.Duration           // timeout for establishing a connection
	ServerIdleTimeout time.Duration           // time after which a server closes an idle connection
	RetryCosts        []keepalive.AttemptCost // cost of a broken connection to a request, by request class
}

// Settings are the settings of a Client.
type Settings struct {
	ReloadableSettings
	Trace      func(format string, args ...any) // logs a line for every dial and for every connection closed; nil = no log
	OnSent     func()                           // called when the last byte of an attempt, not a probe, is written; may be nil
	Bounds     *streaming.Bounds                // memory for bodies; nil = no streaming: a response above 64 KiB is malformed
	IsServed   func(status int) bool            // whether a response with this status serves the request; nil = only 200
	Invariants *invariant.Recorder              // counts prevented and actual rule violations; may be nil
}

// RetryCosts returns, for each of the policy's classes, the cost of a broken connection to a request.
func RetryCosts(classes []policy.Class) (out []keepalive.AttemptCost) {
	for _, c := range classes {
		objective := time.Duration(c.LatencyObjective * float64(time.Millisecond))
		out = append(out, keepalive.AttemptCost{NonIdempotent: c.Idempotency == policy.NonIdempotent, LatencyObjective: objective, PriorityWeight: c.PriorityWeight})
	}
	return out
}

// Client is the upstream.Upstream for HTTP/1.1. It and its endpoints are safe for concurrent use.
type Client struct {
	ctx        context.Context
	budget     *connlimit.Budget
	settings   Settings
	reloadable atomic.Pointer[ReloadableSettings]
	wg         sync.WaitGroup

	mu           sync.Mutex           // guards the fields below, and the endpoints' idle connections
	estimator    *keepalive.Estimator // estimates the risk that a reused connection is broken
	idleOutcomes outcome.Counts       // counts how idle connections have ended
}

// New returns a Client whose connections are closed when ctx ends.
func New(ctx context.Context, budget *connlimit.Budget, settings Settings) (*Client, error) {
	// HandshakeCost: a handshake is a small part of the work for a request. RetryCost: retries are limited to a tenth of the
	// requests, a budget that is used up where connections break often.
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

// Reconfigure replaces the reloadable settings; they apply from the next attempt on.
func (c *Client) Reconfigure(f ReloadableSettings) { c.reloadable.Store(&f) }

// Wait waits until the last goroutine has returned, which is soon after the context ends.
func (c *Client) Wait() { c.wg.Wait() }

// IdleOutcomes returns the number of idle connections that have ended so far, by outcome.
func (c *Client) IdleOutcomes() outcome.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleOutcomes
}

// Forget discards the estimator's data on a server that is permanently removed.
func (c *Client) Forget(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.RemoveServer(server)
}

// State returns the estimator's serialized state.
func (c *Client) State(now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.State(now)
}

// Restore replaces the estimator's state by one that State returned, age ago.
func (c *Client) Restore(now time.Time, state []byte, age time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Restore(now, state, age)
}

// Endpoint returns the endpoint for a server's process at address.
func (c *Client) Endpoint(server, address string) upstream.Endpoint {
	return &endpoint{client: c, name: server, address: address}
}

func (c *Client) trace(format string, args ...any) {
	if c.settings.Trace != nil {
		c.settings.Trace(format, args...)
	}
}
