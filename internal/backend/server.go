package backend

import (
	"context"
	"slices"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
)

const (
	idleTimeoutFraction = 0.8 // the maximum idle time, as a fraction of the time after which a server closes an idle connection
	maxSkippedConns     = 4   // idle connections skipped before a new one is opened: the others have been idle for longer
)

// endpoint is one process of a server at one address, with its idle connections.
type endpoint struct {
	client        *Client
	name, address string

	idle   []*conn // the most recently used last; idle and closed are guarded by client.mu
	closed bool
}

func (e *endpoint) Address() string { return e.address }

// Start sends the attempt on an idle connection or on a new one, as the estimator decides.
func (e *endpoint) Start(options upstream.AttemptOptions) upstream.Attempt {
	cost := probeCost
	if options.Request != nil {
		cost = e.client.reloadable.Load().RetryCosts[options.Request.Class]
	}
	a := e.encode(options)
	e.client.start(a, estimatorChooser{e.client.estimator, time.Now(), e.name, cost})
	return a
}

func (c *Client) start(a *attempt, chooser connChooser) {
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	c.mu.Lock()
	a.pauseOnNew = chooser.pauseBeforeLastByte(connUse{})
	taken := a.endpoint.offer(a, chooser)
	c.mu.Unlock()
	if !taken {
		c.wg.Go(func() { c.dialAndServe(a) })
	}
}

// offer gives the attempt to the most recently used idle connection that the chooser permits, and reports whether there was one.
// Connections that are skipped stay idle until their idle timeout closes them. It is called with client.mu held.
func (e *endpoint) offer(a *attempt, chooser connChooser) bool {
	skipped := 0
	for i := len(e.idle) - 1; i >= 0 && skipped < maxSkippedConns; i-- {
		candidate := e.idle[i]
		use := connUse{idle: time.Since(candidate.idleSince), attempts: candidate.use.attempts}
		if !chooser.mayReuse(use) { // an attempt with a lower retry cost may still reuse the connection
			skipped++
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		a.pause = chooser.pauseBeforeLastByte(use)
		if candidate.socket.MarkBusy() && !candidate.socket.IsEvicted() && candidate.offer(a) {
			return true
		}
		candidate.close()
	}
	return false
}

// keepIdle makes the connection available for reuse, for as long as the attempt with the lowest retry cost would reuse it.
// That time ends well before the server closes the connection: an attempt that is sent while the server closes is reset, and
// must not be retried if it is not idempotent.
func (c *Client) keepIdle(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maxIdle := time.Duration(idleTimeoutFraction * float64(c.reloadable.Load().ServerIdleTimeout))
	idleTimeout := c.estimator.IdleLimit(now, conn.endpoint.name, probeCost, maxIdle)
	if conn.endpoint.closed || conn.socket.SetReadDeadline(now.Add(idleTimeout)) != nil {
		conn.close()
		return
	}
	conn.socket.MarkIdle(0)
	conn.idleSince = now
	conn.idleUntil = now.Add(idleTimeout)
	conn.endpoint.idle = append(conn.endpoint.idle, conn)
}

// removeIdle removes a connection that has ended while idle, and counts how.
func (c *Client) removeIdle(conn *conn, kind outcome.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleOutcomes[kind]++
	if i := slices.Index(conn.endpoint.idle, conn); i >= 0 {
		conn.endpoint.idle = slices.Delete(conn.endpoint.idle, i, i+1)
	}
}

// Close closes all idle connections, and those in use once they become idle: the address may belong to another server from
// now on.
func (e *endpoint) Close() {
	e.client.mu.Lock()
	defer e.client.mu.Unlock()
	for _, conn := range e.idle {
		conn.close()
	}
	e.idle = nil
	e.closed = true
}
