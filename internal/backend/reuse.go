package backend

import (
	"plankrouter/internal/keepalive"
	"plankrouter/internal/outcome"
	"time"
)

// probeStakes are those of a probe: it may run again, and it is not worth much.
var probeStakes = keepalive.Stakes{Worth: 0.05}

// bet decides on which connection a call goes and how it is written. It is asked with the Caller's lock held.
type bet interface {
	take(use) bool          // this kept connection, rather than another or a new one
	hold(use) time.Duration // for which the last byte is held back, to see whether the connection is dead
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
