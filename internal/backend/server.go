package backend

import (
	"context"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
	"slices"
	"time"
)

const (
	idleTimeoutFraction = 0.8 // of the time after which a provider closes an idle connection
	maxSkippedConns     = 4   // kept connections that a call may pass over before it gets a new one: the others are older still
)

// endpoint is one provider's process at one address, with its kept connections.
type endpoint struct {
	client        *Caller
	name, address string

	idle   []*conn // most lately used last; guarded by of.mu, like what follows
	closed bool
}

func (e *endpoint) Address() string { return e.address }

// Start sends the task on a kept connection or on a new one, as the book decides.
func (e *endpoint) Start(options upstream.AttemptOptions) upstream.Attempt {
	stakes := probeCost
	if options.Request != nil {
		stakes = e.client.figures.Load().Stakes[options.Request.Class]
	}
	a := e.encode(options)
	e.client.start(a, estimatorChooser{e.client.estimator, time.Now(), e.name, stakes})
	return a
}

func (c *Caller) start(a *attempt, chooser reuseChooser) {
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	c.mu.Lock()
	a.pauseOnNew = chooser.pauseBeforeLastByte(connUse{})
	kept := a.endpoint.offer(a, chooser)
	c.mu.Unlock()
	if !kept {
		c.wg.Go(func() { c.dialAndServe(a) })
	}
}

// offer gives the call to the connection most lately used that the bet takes: the others grow idle and are retired.
func (e *endpoint) offer(a *attempt, chooser reuseChooser) bool {
	for at, passed := len(e.idle)-1, 0; at >= 0 && passed < maxSkippedConns; at-- {
		candidate := e.idle[at]
		connUse := connUse{idle: time.Since(candidate.idleSince), attempts: candidate.use.attempts}
		if !chooser.mayReuse(connUse) { // it may do for another call
			passed++
			continue
		}
		e.idle = slices.Delete(e.idle, at, at+1)
		a.pause = chooser.pauseBeforeLastByte(connUse)
		if candidate.socket.MarkBusy() && !candidate.socket.IsEvicted() && candidate.offer(a) {
			return true
		}
		candidate.close()
	}
	return false
}

// keepIdle lets the connection's endpoint use it again, for as long as a call with the least at stake would take it, which must
// end well before the provider closes it: a call that crosses that is reset, and may not be sent again if it may not run
// twice.
func (c *Caller) keepIdle(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	retire := c.estimator.Limit(now, conn.endpoint.name, probeCost, time.Duration(idleTimeoutFraction*float64(c.figures.Load().ConnIdle)))
	if conn.endpoint.closed || conn.socket.SetReadDeadline(now.Add(retire)) != nil {
		conn.close()
		return
	}
	conn.socket.MarkIdle(0)
	conn.idleSince, conn.idleUntil = now, now.Add(retire)
	conn.endpoint.idle = append(conn.endpoint.idle, conn)
}

// removeIdle forgets a connection that has ended while it was kept.
func (c *Caller) removeIdle(conn *conn, how outcome.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleOutcomes[how]++
	if at := slices.Index(conn.endpoint.idle, conn); at >= 0 {
		conn.endpoint.idle = slices.Delete(conn.endpoint.idle, at, at+1)
	}
}

// Close closes all kept connections, and those to come: who answers at the address from now on is somebody else.
func (e *endpoint) Close() {
	e.client.mu.Lock()
	defer e.client.mu.Unlock()
	for _, conn := range e.idle {
		conn.close()
	}
	e.idle, e.closed = nil, true
}
