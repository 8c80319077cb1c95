package policy

import (
	"fmt"
	"slices"

	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
	"plankrouter/policy/internal/tokenbucket"
)

// State returns what has been learned. The present load and servers that are not ready are left out.
func (b *Balancer) State() State {
	state := State{
		SumLoadSquared: b.loadModel.SumLoadSquared, SumLoadLatency: b.loadModel.SumLoadLatency,
		FittedAt: b.loadModel.FadedAt, FleetLatency: b.fleetLatency,
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

// Restore takes what an earlier process has learned, after the list and before any request. What concerns a
// process that a listed server is not any more is left out; a state of other classes or tenants is an error.
func (b *Balancer) Restore(state *State) error {
	if !fits(len(state.Classes), len(b.loadModel.Classes)) || !fits(len(state.Tenants), len(b.tenantBuckets)) {
		return fmt.Errorf("policy: a state of %d classes and %d tenants does not fit %d and %d",
			len(state.Classes), len(state.Tenants), len(b.loadModel.Classes), len(b.tenantBuckets))
	}
	b.loadModel.SumLoadSquared = state.SumLoadSquared
	b.loadModel.SumLoadLatency = state.SumLoadLatency
	b.loadModel.FadedAt = state.FittedAt
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

// fits reports whether a state has as many entries as the settings; it has none of what was too old to be stored.
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
	s.reportedAt = min(stored.ReportedAt, b.now-maxPoolAge-1) // its load is not known, and must not pass for an idle server's
	s.slowStartBudget = tokenbucket.Bucket(stored.SlowStartBudget)
	copy(s.outcomesByTenant, stored.Outcomes)
}

// Reconfigure takes other settings, or none of them if they are not valid. classes and tenants give, for each new one, the
// number of the old one whose past it takes over, or -1; a request that is open keeps its number and so its rules.
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
	b.answerMargin = next.answerMargin
	b.traffic.TotalQuota = next.traffic.TotalQuota
	b.traffic.Instances = next.traffic.Instances
	b.tenantBuckets = next.tenantBuckets
	b.loadModel.Classes = next.loadModel.Classes
	return nil
}

// carryOver copies to each next entry the previous one that from names.
func carryOver[T any](from []int, previous, next []T) {
	for i, old := range from {
		if old >= 0 {
			next[i] = previous[old]
		}
	}
}
