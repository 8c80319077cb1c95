package dispatch

import (
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/snapshot"
	"plankrouter/policy"
)

// restore starts from the endpoint list and the learned state of a snapshot. What can't be restored is logged.
func (d *Dispatcher) restore(restored *snapshot.Restored) {
	now := d.restoreList(restored)
	state := d.restoredState(&restored.Learned)
	if err := d.balancer.Restore(&state); err != nil {
		d.options.Logf("snapshot=policy state=not_restored err=%q", err)
	}
	if len(restored.Keepalive) > 0 {
		age := duration(d.clock.at(now) - restored.Learned.Now)
		if err := d.options.Upstream.Restore(now, restored.Keepalive, age); err != nil {
			d.options.Logf("snapshot=connections state=not_restored err=%q", err)
		}
	}
}

// restoreList applies the list of the snapshot, and returns when it did so.
func (d *Dispatcher) restoreList(restored *snapshot.Restored) (now time.Time) {
	listed := restored.List
	listed.Members = nil
	d.predecessorAges = map[string]processAge{}
	for _, member := range restored.List.Members {
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
		if id, found := d.serverIDs[member.ID]; found && member.PhaseSince > 0 {
			d.servers[id].phaseSince = d.timeOfDate(member.PhaseSince, now) // the grace of a drain is not restarted
		}
	}
	return now
}

// restoredState converts the learned state of a snapshot to the policy's state, without servers that are not listed.
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
		if id, found := d.serverIDs[server.Name]; found {
			state.Servers = append(state.Servers, d.restoredServer(id, server))
		}
	}
	return state
}

// restoredServer converts the learned state of one server's process.
func (d *Dispatcher) restoredServer(id policy.ServerID, server snapshot.LearnedServer) policy.ServerState {
	startedAt := server.StartedAt
	if start := d.servers[id].processStart; start.listedDate == startedAt {
		startedAt = start.listedAt
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
