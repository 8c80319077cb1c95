package dispatch

import (
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/snapshot"
	"plankrouter/policy"
)

// restore begins with the list and what was learned before, instead of the configuration's list alone.
func (d *Dispatcher) restore(before *snapshot.Restored) {
	now := d.restoreList(before)
	state := d.restoredState(&before.Learned)
	if err := d.balancer.Restore(&state); err != nil {
		d.options.Logf("snapshot=policy state=not_restored err=%q", err)
	}
	if len(before.Keepalive) > 0 {
		age := duration(d.clock.at(now) - before.Learned.Now)
		if err := d.options.Upstream.Restore(now, before.Keepalive, age); err != nil {
			d.options.Logf("snapshot=connections state=not_restored err=%q", err)
		}
	}
}

// restoreList takes the list of the process before this one, and returns when it was taken.
func (d *Dispatcher) restoreList(before *snapshot.Restored) (now time.Time) {
	listed := before.List
	listed.Members = nil
	d.predecessorAges = map[string]processAge{}
	for _, member := range before.List.Members {
		if member.Phase == endpoints.Deleted {
			d.rememberDeleted(member)
			continue
		}
		listed.Members = append(listed.Members, member)
		if member.Age > 0 {
			d.predecessorAges[member.ID] = processAge{startDate: member.StartedAt, age: member.Age}
		}
	}
	d.applyEndpoints(listed.ToEndpoints())
	d.predecessorAges = nil
	now = time.Now()
	for _, member := range listed.Members {
		if id, have := d.serverIDs[member.ID]; have && member.PhaseSince > 0 {
			d.servers[id].phaseSince = d.timeOfDate(member.PhaseSince, now) // a drain does not begin anew with this process
		}
	}
	return now
}

// restoredState returns what was learned before as the policy's state, as far as it is about servers that are listed.
func (d *Dispatcher) restoredState(learned *snapshot.Learned) policy.State {
	state := policy.State{
		SumLoadSquared: learned.Fit.SumLoadSquared, SumLoadLatency: learned.Fit.SumLoadLatency, FittedAt: learned.Fit.FittedAt, FleetLatency: learned.FleetLatency,
		OwnInFlight: learned.OwnInFlight, TotalInFlight: learned.TotalInFlight,
		Arrivals: policy.Level{Value: learned.Arrivals.Value, At: learned.Arrivals.At},
		Sends:    policy.Level{Value: learned.Sends.Value, At: learned.Sends.At},
	}
	for _, class := range learned.Fit.Classes {
		state.Classes = append(state.Classes, policy.Mean{Count: class.Count, Sum: class.Sum})
	}
	for _, tenant := range learned.Tenants {
		state.Tenants = append(state.Tenants, policy.Level{Value: tenant.Tokens, At: fromSnapshotTime(tenant.At)})
	}
	for _, server := range learned.Servers {
		if id, have := d.serverIDs[server.Name]; have {
			state.Servers = append(state.Servers, d.restoredServer(id, server))
		}
	}
	return state
}

// restoredServer returns what was learned of one server's process.
func (d *Dispatcher) restoredServer(id policy.ServerID, server snapshot.LearnedServer) policy.ServerState {
	startedAt := server.StartedAt
	if origin := d.servers[id].origin; origin.listedDate == startedAt {
		startedAt = origin.listedAt
	}
	state := policy.ServerState{
		ID: id, StartedAt: startedAt, Latency: server.Latency, LatencyReported: server.LatencyReported,
		ReportedAt: fromSnapshotTime(server.ReportedAt), RoundTrip: server.RoundTrip, ErrorRate: server.ErrorRate,
		SlowStartBudget: policy.Level{Value: server.SlowStartBudget.Value, At: server.SlowStartBudget.At},
		Outcomes:        make([]policy.Tally, 1+len(d.options.Policy.Tenants)),
	}
	for _, tally := range server.Outcomes {
		if int(tally.Tenant) < len(state.Outcomes) {
			state.Outcomes[tally.Tenant] = policy.Tally{Successes: tally.Successes, Failures: tally.Failures, At: tally.At}
		}
	}
	return state
}
