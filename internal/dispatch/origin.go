package dispatch

import (
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/policy"
)

// origin is when a server's process counts as started: the dates that say so, in Unix milliseconds, and where they lie on the policy's
// clock. Both remain as they were at first, whatever becomes of the wall clock after that.
type origin struct {
	listedDate     float64   // by the list
	uncordonedDate float64   // by operators, who have put the server back and may have restarted it
	listedAt       policy.Ms // of listedDate
	startedAt      policy.Ms // the later of the two
}

// processAge is how long ago a server's process has started, of which the list gives that date.
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

// policyTime returns where on the policy's clock a date lies.
func (d *Dispatcher) policyTime(date float64, now time.Time) policy.Ms {
	return d.wallClock.Place(date, d.clock.at(now))
}

// originOf returns the origin of the process that the list names, given what is known of its server.
func (d *Dispatcher) originOf(server *serverRecord, endpoint endpoints.Endpoint, now time.Time) origin {
	uncordonedDate := d.cordons.Uncordoned[endpoint.ID]
	if server.origin.listedDate == endpoint.StartedAt && server.origin.uncordonedDate == uncordonedDate {
		return server.origin
	}
	listedAt := server.origin.listedAt
	if server.origin.listedDate != endpoint.StartedAt {
		listedAt = d.policyTime(endpoint.StartedAt, now)
		if process, known := d.predecessorAges[endpoint.ID]; known && process.startDate == endpoint.StartedAt {
			listedAt = d.clock.at(now) - process.age
		}
	}
	return origin{
		listedDate: endpoint.StartedAt, uncordonedDate: uncordonedDate,
		listedAt: listedAt, startedAt: max(listedAt, d.policyTime(uncordonedDate, now)),
	}
}

// dateOfTime returns the date that the wall clock, as it is now, gives a moment of this process.
func (d *Dispatcher) dateOfTime(t, now time.Time) float64 {
	return unixMs(d.options.WallClock()) - millis(now.Sub(t))
}

// timeOfDate returns the moment of a date, no later than now.
func (d *Dispatcher) timeOfDate(date float64, now time.Time) time.Time {
	return now.Add(-duration(max(0, d.clock.at(now)-d.policyTime(date, now))))
}
