package core

import (
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/provider"
	"plankrouter/internal/reuse"
	"plankrouter/logic"
)

// probeStakes are those of a probe: it may run again, and it is not worth much.
var probeStakes = reuse.Stakes{Worth: 0.05}

// prices are those of connections here. A retry draws on a budget of one in ten requests, so that where connections break
// often there is none left for it; a handshake is a small part of a request's work.
func prices() reuse.Settings {
	set := reuse.Default()
	set.Handshake, set.Retry = 0.01, 0.3
	return set
}

// stakesOf are those of a class's requests.
func stakesOf(c *logic.Class) reuse.Stakes {
	return reuse.Stakes{Once: c.Repeat == logic.Unsafe, Aim: config.Duration(c.Aim), Worth: c.Worth}
}

// bet is a call's provider.Bet.
type bet struct {
	book     *reuse.Book
	now      time.Time
	provider string
	stakes   reuse.Stakes
}

func (b bet) use(u provider.Use) reuse.Use {
	return reuse.Use{Provider: b.provider, Idle: u.Idle, Carried: u.Carried}
}

func (b bet) Take(u provider.Use) bool          { return b.book.Take(b.now, b.use(u), b.stakes) }
func (b bet) Hold(u provider.Use) time.Duration { return b.book.Hold(b.now, b.use(u), b.stakes) }

// keep lets the connection's provider use it again, for as long as a call with the least at stake would take it.
func (s *Pool) keep(c *provider.Conn) {
	most := time.Duration(retirePart * float64(s.cfg.ConnIdle))
	c.Put(s.book.Limit(time.Now(), c.Provider(), probeStakes, most))
}

// learn takes note of how the connections did on which a call was.
func (s *Pool) learn(name string, r *provider.Result) {
	c, now := r.Call, time.Now()
	of := func(u provider.Use) reuse.Use { return bet{provider: name}.use(u) }
	if d := c.Dead; d != nil {
		fate := reuse.Broken
		if d.Early {
			fate = reuse.Early
		}
		s.book.Learn(now, of(d.Use), fate, d.Held, d.Took)
	}
	if c.Dialed > 0 {
		s.book.Dialed(name, c.Dialed)
	}
	switch r.Ending {
	case ending.Served, ending.ServerError, ending.Declined, ending.Malformed:
		s.book.Learn(now, of(c.Use), reuse.Answered, c.Held, 0)
	case ending.ResetByPeer:
		s.book.Learn(now, of(c.Use), reuse.Broken, c.Held, r.Took)
	case ending.Unwritten:
		if r.Early {
			s.book.Learn(now, of(c.Use), reuse.Early, c.Held, r.Took)
		}
	}
}
