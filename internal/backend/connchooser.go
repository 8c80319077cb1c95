package backend

import (
	"time"

	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
)

// probeCost is the retry cost of a probe, which is idempotent and unimportant compared to a request.
var probeCost = keepalive.AttemptCost{PriorityWeight: 0.05}

// connChooser decides which connection an attempt uses, and how long its last byte is held back. Its methods are called with
// Client.mu held.
type connChooser interface {
	mayReuse(connUse) bool                     // whether to reuse this idle connection, rather than another or a new one
	pauseBeforeLastByte(connUse) time.Duration // how long the last byte is held back to detect a dead connection; 0 = not at all
}

// connUse is the use of a connection before an attempt is sent on it. The zero value is a new connection.
type connUse struct {
	idle     time.Duration // how long it was idle before the attempt
	attempts int           // the number of attempts before this one
}

func (u connUse) isReused() bool { return u.attempts > 0 || u.idle > 0 }

func (u connUse) keepaliveUse(server string) keepalive.Use {
	return keepalive.Use{Server: server, Idle: u.idle, Carried: u.attempts}
}

// deadConn describes a reused connection that was found dead.
type deadConn struct {
	connUse
	pause, timeToBreak time.Duration // as attempt.pause and result.timeToBreak
	beforeLastByte     bool          // as result.beforeLastByte
}

// estimatorChooser is the connChooser that follows the estimator.
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

// updateEstimator reports to the estimator which of an attempt's connections were broken, and how long dialing took.
func (c *Client) updateEstimator(a *attempt, r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	name := a.endpoint.name
	if d := a.deadConn; d != nil {
		connOutcome := keepalive.BrokenAfterLastByte
		if d.beforeLastByte {
			connOutcome = keepalive.BrokenBeforeLastByte
		}
		c.estimator.Learn(now, d.keepaliveUse(name), connOutcome, d.pause, d.timeToBreak)
	}
	if a.dialTime > 0 {
		c.estimator.Dialed(name, a.dialTime)
	}
	switch r.Outcome {
	case outcome.Served, outcome.ServerError, outcome.Declined, outcome.Malformed:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.Responded, a.pause, 0)
	case outcome.ResetByPeer:
		c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.BrokenAfterLastByte, a.pause, r.timeToBreak)
	case outcome.PartlyWritten:
		if r.beforeLastByte {
			c.estimator.Learn(now, a.use.keepaliveUse(name), keepalive.BrokenBeforeLastByte, a.pause, r.timeToBreak)
		}
	}
}
