package dispatch

import (
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
	"time"
)

// origin is when a server's process counts as started: the dates that say so, and where they lie on the module's clock. Both stay
// as they were first told, whatever becomes of the wall clock after that.
type origin struct {
	listedDate, uncordonedDate float64 // by the list, and by operators, who have put it back and may have restarted it
	listedAt                   policy.Ms
	startedAt                  policy.Ms
}

// processAge is how long ago a server's process has started, of which the list says that date.
type processAge struct {
	startDate float64
	age       policy.Ms
}

// observeWallClock notes whether the wall clock has been stepped: what is dated from now on goes by it.
func (d *Dispatcher) observeWallClock(now time.Time) {
	if step := d.wallClock.Observe(d.clock.at(now), unixMs(d.options.WallClock())); step != 0 {
		d.options.Logf("state=clock_stepped by_ms=%.0f", step)
	}
}

// policyTime returns where on the module's clock a date lies.
func (d *Dispatcher) policyTime(date float64, now time.Time) policy.Ms {
	return d.wallClock.Place(date, d.clock.at(now))
}

// originOf is the origin of the process that a line of the list names, given what is known of its server.
func (d *Dispatcher) originOf(k *serverRecord, m endpoints.Endpoint, now time.Time) origin {
	back := d.cordons.Uncordoned[m.ID]
	if k.origin.listedDate == m.StartedAt && k.origin.uncordonedDate == back {
		return k.origin
	}
	listed := k.origin.listedAt
	if k.origin.listedDate != m.StartedAt {
		listed = d.policyTime(m.StartedAt, now)
		if a, known := d.predecessorAges[m.ID]; known && a.startDate == m.StartedAt {
			listed = d.clock.at(now) - a.age
		}
	}
	return origin{listedDate: m.StartedAt, uncordonedDate: back, listedAt: listed, startedAt: max(listed, d.policyTime(back, now))}
}

// wallDate is the date that the wall clock, as it is now, gives a moment of this process.
func (d *Dispatcher) wallDate(t, now time.Time) float64 {
	return unixMs(d.options.WallClock()) - millis(now.Sub(t))
}

// timeOfDate is the moment of a date, no later than now.
func (d *Dispatcher) timeOfDate(date float64, now time.Time) time.Time {
	return now.Add(-duration(max(0, d.clock.at(now)-d.policyTime(date, now))))
}
