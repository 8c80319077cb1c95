package backend

import (
	"time"

	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
)

// probeCost is that of a probe: it may be sent again, and little depends on it.
var probeCost = keepalive.AttemptCost{PriorityWeight: 0.05}

// connChooser picks the connection for an attempt, and how it is written. It is called with the Caller's lock held.
type connChooser interface {
	mayReuse(connUse) bool                     // whether to take this idle connection, rather than another or a new one
	pauseBeforeLastByte(connUse) time.Duration // how long the last byte is held back to see whether the connection is dead; 0 = not at all
}

// connUse is what a connection has behind it as an attempt gets it.
type connUse struct {
	idle     time.Duration // before the attempt
	attempts int           // before this one
}

func (u connUse) isKept() bool { return u.attempts > 0 || u.idle > 0 }

func (u connUse) keepaliveUse(server string) keepalive.Use {
	return keepalive.Use{Server: server, Idle: u.idle, Carried: u.attempts}
}

// deadConn is how a reused connection was found dead.
type deadConn struct {
	connUse
	pause, tookUntilBreak time.Duration // as in attempt and result
	early                 bool
}

// estimatorChooser chooses by what the estimator has learned.
type estimatorChooser struct {
	estimator *keepalive.Estimator
	now       time.Time
	server    string
	cost      keepalive.AttemptCost
}

func (c estimatorChooser) mayReuse(u connUse) bool {
	return c.estimator.ShouldReuse(c.now, u.keepaliveUse(c.server), c.cost)
}

func (c estimatorChooser) pauseBeforeLastByte(u connUse) time.Duration {
	return c.estimator.LastByteDelay(c.now, u.keepaliveUse(c.server), c.cost)
}

// learn tells the estimator how the connections of an attempt did.
func (c *Client) learn(a *attempt, r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	name := a.endpoint.name
	if d := a.deadConn; d != nil {
		how := keepalive.BrokenAfterLastByte
		if d.early {
			how = keepalive.BrokenBeforeLastByte
		}
		c.estimator.Learn(now, d.keepaliveUse(name), how, d.pause, d.tookUntilBreak)
	}
	if a.dialTime > 0 {
		c.estimator.Dialed(name, a.dialTime)
	}
	switch r.Outcome {
	case outcome.Served, outcome.ServerError, outcome.Declined, outcome.Malformed:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.Responded, a.pause, 0)
	case outcome.ResetByPeer:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.BrokenAfterLastByte, a.pause, r.tookUntilBreak)
	case outcome.PartlyWritten:
		if r.early {
			c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.BrokenBeforeLastByte, a.pause, r.tookUntilBreak)
		}
	}
}
