package policy

import (
	"fmt"
	"slices"

	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
	"plankrouter/policy/internal/tokenbucket"
)

// State returns the state to be saved. The current load and servers that are not ready are left out.
func (b *Balancer) State() State {
	state := State{
		SumLoadSquared: b.loadModel.SumLoadSquared, SumLoadLatency: b.loadModel.SumLoadLatency,
		FittedAt: b.loadModel.DecayedAt, FleetLatency: b.fleetLatency,
		OwnInFlight: b.traffic.OwnInFlight, TotalInFlight: b.traffic.TotalInFlight,
		Arrivals: Level(b.arrivalRate), Sends: Level(b.sendRate),
	}
	for _, class := range b.loadModel.Classes {
		state.Classes = append(state.Classes, Mean{Count: class.Count, Sum: class.Sum})
	}
	for _, bucket := range b.tenantBuckets {
		state.Tenants = append(state.Tenants, Level(bucket))
	}
	for _, s := range b.servers {
		if s.info.Health == Ready {
			state.Servers = append(state.Servers, s.state())
		}
	}
	return state
}

func (s *server) state() ServerState {
	return ServerState{
		ID: s.info.ID, StartedAt: s.info.StartedAt,
		Latency: s.latency, LatencyReported: s.latencyReported, ErrorRate: s.reportedErrorRate,
		ReportedAt: s.reportedAt, RoundTrip: s.roundTrip,
		Outcomes:        slices.Clone(s.outcomesByTenant),
		SlowStartBudget: Level(s.slowStartBudget),
	}
}

// Restore loads the state saved by an earlier process. It has to be called after the first server list and before any
// request. The state of a server that has restarted since is ignored; a state with another number of classes or tenants is an
// error.
func (b *Balancer) Restore(state *State) error {
	if !fits(len(state.Classes), len(b.loadModel.Classes)) || !fits(len(state.Tenants), len(b.tenantBuckets)) {
		return fmt.Errorf("policy: saved state has %d classes and %d tenants, configuration has %d and %d",
			len(state.Classes), len(state.Tenants), len(b.loadModel.Classes), len(b.tenantBuckets))
	}
	b.loadModel.SumLoadSquared = state.SumLoadSquared
	b.loadModel.SumLoadLatency = state.SumLoadLatency
	b.loadModel.DecayedAt = state.FittedAt
	for i, class := range state.Classes {
		b.loadModel.Classes[i].Count = class.Count
		b.loadModel.Classes[i].Sum = class.Sum
	}
	for i, tenant := range state.Tenants {
		b.tenantBuckets[i] = tokenbucket.Bucket(tenant)
	}
	b.fleetLatency = state.FleetLatency
	b.traffic.OwnInFlight = state.OwnInFlight
	b.traffic.TotalInFlight = state.TotalInFlight
	b.arrivalRate = stats.Rate(state.Arrivals)
	b.sendRate = stats.Rate(state.Sends)
	for i := range state.Servers {
		b.restoreServer(&state.Servers[i])
	}
	b.updateMedians()
	return nil
}

// fits reports whether the saved state has as many entries as the configuration, or none because they were too old to be saved.
func fits(stored, configured int) bool { return stored == 0 || stored == configured }

func (b *Balancer) restoreServer(stored *ServerState) {
	s := b.byID[stored.ID]
	if s == nil || s.info.StartedAt != stored.StartedAt {
		return
	}
	s.latency = stored.Latency
	s.latencyReported = stored.LatencyReported
	s.roundTrip = stored.RoundTrip
	s.reportedErrorRate = stored.ErrorRate
	s.reportedAt = min(stored.ReportedAt, b.now-maxPoolAge-1) // the load is not restored; its 0 must not count as reported
	s.slowStartBudget = tokenbucket.Bucket(stored.SlowStartBudget)
	copy(s.outcomesByTenant, stored.Outcomes)
}

// Reconfigure replaces the settings; invalid ones are an error and change nothing. classes and tenants give, for each new
// class or tenant, the index of the old one whose statistics it takes over, or -1. Open requests keep their class index, so a
// class in use must keep its index, too.
func (b *Balancer) Reconfigure(cfg Config, classes, tenants []int) error {
	next, err := New(cfg, 0)
	if err != nil {
		return err
	}
	carryOver(classes, b.loadModel.Classes, next.loadModel.Classes)
	b.gauge.Reconfigure(next.gauge, classes)
	carryOver(tenants, b.tenantBuckets, next.tenantBuckets)
	for _, s := range b.servers {
		outcomes := make(outlier.ByTenant, 1+len(next.tenantBuckets))
		outcomes[outlier.AllTenants] = s.outcomesByTenant[outlier.AllTenants]
		carryOver(tenants, s.outcomesByTenant[1:], outcomes[1:])
		s.outcomesByTenant = outcomes
	}
	b.cfg = next.cfg
	b.minObjective = next.minObjective
	b.responseMargin = next.responseMargin
	b.traffic.TotalQuota = next.traffic.TotalQuota
	b.traffic.Instances = next.traffic.Instances
	b.tenantBuckets = next.tenantBuckets
	b.loadModel.Classes = next.loadModel.Classes
	return nil
}

// carryOver copies previous[from[i]] to next[i], unless from[i] is negative.
func carryOver[T any](from []int, previous, next []T) {
	for i, old := range from {
		if old >= 0 {
			next[i] = previous[old]
		}
	}
}
