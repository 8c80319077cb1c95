package backend

import (
	"context"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
	"slices"
	"time"
)

const (
	retirePart = 0.8 // of the time after which a provider closes an idle connection
	mostPassed = 4   // kept connections that a call may pass over before it gets a new one: the others are older still
)

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
