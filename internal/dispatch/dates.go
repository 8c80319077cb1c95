package dispatch

import (
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
	"time"
)

// origin is when a server's process counts as started: the dates that say so, and where they lie on the module's clock. Both stay
// as they were first told, whatever becomes of the wall clock after that.
type origin struct {
	upSince, back float64 // by the list, and by operators, who have put it back and may have restarted it
	listed        policy.Ms
	startedAt     policy.Ms
}

// age is how long ago a server's process has started, of which the list says that date.
type age struct {
	upSince float64
	ms      policy.Ms
}

// readWall notes whether the wall clock has been stepped: what is dated from now on goes by it.
func (s *Dispatcher) readWall(now time.Time) {
	if step := s.dates.Observe(s.clock.at(now), unixMs(s.set.WallClock())); step != 0 {
		s.set.Logf("state=clock_stepped by_ms=%.0f", step)
	}
}

// place returns where on the module's clock a date lies.
func (s *Dispatcher) place(date float64, now time.Time) policy.Ms {
	return s.dates.Place(date, s.clock.at(now))
}

// originOf is the origin of the process that a line of the list names, given what is known of its server.
func (s *Dispatcher) originOf(k *known, m endpoints.Endpoint, now time.Time) origin {
	back := s.bans.Uncordoned[m.ID]
	if k.origin.upSince == m.StartedAt && k.origin.back == back {
		return k.origin
	}
	listed := k.origin.listed
	if k.origin.upSince != m.StartedAt {
		listed = s.place(m.StartedAt, now)
		if a, known := s.ages[m.ID]; known && a.upSince == m.StartedAt {
			listed = s.clock.at(now) - a.ms
		}
	}
	return origin{upSince: m.StartedAt, back: back, listed: listed, startedAt: max(listed, s.place(back, now))}
}

// wallAt is the date that the wall clock, as it is now, gives a moment of this process.
func (s *Dispatcher) wallAt(t, now time.Time) float64 {
	return unixMs(s.set.WallClock()) - millis(now.Sub(t))
}

// since is the moment of a date, no later than now.
func (s *Dispatcher) since(date float64, now time.Time) time.Time {
	return now.Add(-duration(max(0, s.clock.at(now)-s.place(date, now))))
}
