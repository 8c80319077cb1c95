package dispatch

import (
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/policy"
)

// processStart says when a server's process started, as dates in Unix milliseconds and as times on the policy's clock. The times
// on the policy's clock are computed once per date, so that later steps of the wall clock don't change them.
type processStart struct {
	listedDate     float64   // the start date in the list; 0 = unknown
	uncordonedDate float64   // when operators, who may have restarted the server, uncordoned it; 0 = never
	listedAt       policy.Ms // listedDate on the policy's clock
	startedAt      policy.Ms // the later of the two dates, on the policy's clock
}

// processAge is the age of a server's process, which is identified by its start date in the list.
type processAge struct {
	startDate float64
	age       policy.Ms
}

// observeWallClock logs a step of the wall clock, and takes it into account for dates from now on.
func (d *Dispatcher) observeWallClock(now time.Time) {
	if step := d.wallClock.Observe(d.clock.at(now), unixMs(d.options.WallClock())); step != 0 {
		d.options.Logf("state=clock_stepped by_ms=%.0f", step)
	}
}

// policyTime converts a date, in Unix milliseconds, to the policy's clock.
func (d *Dispatcher) policyTime(date float64, now time.Time) policy.Ms {
	return d.wallClock.Place(date, d.clock.at(now))
}

// processStartOf returns when the listed process started; server is the server's record before this update. For a process that
// the predecessor knew, the start is computed from its age in the snapshot.
func (d *Dispatcher) processStartOf(server *serverRecord, endpoint endpoints.Endpoint, now time.Time) processStart {
	uncordonedDate := d.cordons.Uncordoned[endpoint.ID]
	if server.processStart.listedDate == endpoint.StartedAt && server.processStart.uncordonedDate == uncordonedDate {
		return server.processStart
	}
	listedAt := server.processStart.listedAt
	if server.processStart.listedDate != endpoint.StartedAt {
		listedAt = d.policyTime(endpoint.StartedAt, now)
		if process, known := d.predecessorAges[endpoint.ID]; known && process.startDate == endpoint.StartedAt {
			listedAt = d.clock.at(now) - process.age
		}
	}
	return processStart{
		listedDate: endpoint.StartedAt, uncordonedDate: uncordonedDate,
		listedAt: listedAt, startedAt: max(listedAt, d.policyTime(uncordonedDate, now)),
	}
}

// dateOfTime converts t to a date, in Unix milliseconds, by the current wall clock.
func (d *Dispatcher) dateOfTime(t, now time.Time) float64 {
	return unixMs(d.options.WallClock()) - millis(now.Sub(t))
}

// timeOfDate converts a date, in Unix milliseconds, to a time no later than now.
func (d *Dispatcher) timeOfDate(date float64, now time.Time) time.Time {
	return now.Add(-duration(max(0, d.clock.at(now)-d.policyTime(date, now))))
}
