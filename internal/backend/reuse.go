package backend

import (
	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
	"time"
)

// probeCost are those of a probe: it may run again, and it is not worth much.
var probeCost = keepalive.Stakes{Worth: 0.05}

// reuseChooser decides on which connection a call goes and how it is written. It is asked with the Caller's lock held.
type reuseChooser interface {
	mayReuse(connUse) bool                     // this kept connection, rather than another or a new one
	pauseBeforeLastByte(connUse) time.Duration // for which the last byte is held back, to see whether the connection is dead
}

// connUse is a connection as a call found it.
type connUse struct {
	idle     time.Duration // before the call
	attempts int           // calls before that
}

func (u connUse) isKept() bool { return u.attempts > 0 || u.idle > 0 }

func (u connUse) keepaliveUse(server string) keepalive.Use {
	return keepalive.Use{Provider: server, Idle: u.idle, Carried: u.attempts}
}

// deadConn is how a kept connection was found dead.
type deadConn struct {
	connUse
	pause, tookUntilBreak time.Duration // as in call and result
	early                 bool
}

// estimatorChooser is the bet of the book.
type estimatorChooser struct {
	estimator *keepalive.Book
	now       time.Time
	server    string
	cost      keepalive.Stakes
}

func (c estimatorChooser) mayReuse(u connUse) bool {
	return c.estimator.Take(c.now, u.keepaliveUse(c.server), c.cost)
}
func (c estimatorChooser) pauseBeforeLastByte(u connUse) time.Duration {
	return c.estimator.Hold(c.now, u.keepaliveUse(c.server), c.cost)
}

// learn takes note of how the connections did on which a call was.
func (c *Caller) learn(a *attempt, r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, name := time.Now(), a.endpoint.name
	if d := a.deadConn; d != nil {
		fate := keepalive.Broken
		if d.early {
			fate = keepalive.Early
		}
		c.estimator.Learn(now, d.keepaliveUse(name), fate, d.pause, d.tookUntilBreak)
	}
	if a.dialTime > 0 {
		c.estimator.Dialed(name, a.dialTime)
	}
	switch r.Outcome {
	case outcome.Served, outcome.ServerError, outcome.Declined, outcome.Malformed:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.Answered, a.pause, 0)
	case outcome.ResetByPeer:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.Broken, a.pause, r.tookUntilBreak)
	case outcome.PartlyWritten:
		if r.early {
			c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.Early, a.pause, r.tookUntilBreak)
		}
	}
}
