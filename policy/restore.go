package policy

import (
	"fmt"
	"plankrouter/policy/internal/stats"
	"plankrouter/policy/internal/tokenbucket"
)

// Learned state across processes and settings.

// State returns what has been learned. Servers that were left are not in it.
func (b *Balancer) State() State {
	state := State{
		SumLoadSquared: b.loadModel.SumLoadSquared, SumLoadLatency: b.loadModel.SumLoadLatency, FittedAt: b.loadModel.FadedAt, FleetLatency: b.fleetLatency, OwnInFlight: b.ownInFlightSum,
		TotalInFlight: b.totalInFlightSum, Arrivals: Level(b.arrivalRate), Sends: Level(b.sendRate),
	}
	for _, c := range b.loadModel.Classes {
		state.Classes = append(state.Classes, Mean{c.Count, c.Sum})
	}
	for _, k := range b.tenantBuckets {
		state.Tenants = append(state.Tenants, Level(k))
	}
	for _, s := range b.servers { // the present load, of s.rif and the pool, stays out
		if s.info.Health == Ready {
			state.Servers = append(state.Servers, ServerState{
				s.info.ID, s.info.StartedAt, s.latency, s.latencyReported,
				s.reportedAt, s.roundTrip, s.reportedErrorRate, append([]Tally(nil), s.outcomesByTenant...), Level(s.slowStartBudget),
			})
		}
	}
	return state
}

// Restore takes what an earlier process has learned, after the list and before any request. What concerns a
// process that a listed server is not any more is left out; a state of other classes or tenants is an error.
func (b *Balancer) Restore(state *State) error {
	fits := func(n, have int) bool { return n == 0 || n == have } // what is too old is left out of a state
	if !fits(len(state.Classes), len(b.loadModel.Classes)) || !fits(len(state.Tenants), len(b.tenantBuckets)) {
		return fmt.Errorf("logic: a state of %d classes and %d tenants does not fit %d and %d",
			len(state.Classes), len(state.Tenants), len(b.loadModel.Classes), len(b.tenantBuckets))
	}
	b.loadModel.SumLoadSquared, b.loadModel.SumLoadLatency, b.loadModel.FadedAt = state.SumLoadSquared, state.SumLoadLatency, state.FittedAt
	for i, m := range state.Classes {
		b.loadModel.Classes[i].Count, b.loadModel.Classes[i].Sum = m.Count, m.Sum
	}
	for i, l := range state.Tenants {
		b.tenantBuckets[i] = tokenbucket.Bucket(l)
	}
	b.fleetLatency, b.ownInFlightSum, b.totalInFlightSum = state.FleetLatency, state.OwnInFlight, state.TotalInFlight
	b.arrivalRate, b.sendRate = stats.Rate(state.Arrivals), stats.Rate(state.Sends)
	for _, stored := range state.Servers {
		s := b.byID[stored.ID]
		if s == nil || s.info.StartedAt != stored.StartedAt {
			continue
		}
		s.latency, s.latencyReported, s.roundTrip, s.reportedErrorRate = stored.Latency, stored.LatencyReported, stored.RoundTrip, stored.ErrorRate
		s.reportedAt = min(stored.ReportedAt, b.now-maxPoolAge-1) // whose load is not known: no server is idle by that
		s.slowStartBudget = tokenbucket.Bucket(stored.SlowStartBudget)
		copy(s.outcomesByTenant, stored.Outcomes)
	}
	b.updateMedians()
	return nil
}

// Reconfigure takes other settings, or none of them. A number among classes and tenants is the old one whose
// past is the new one's, -1 = nobody's; what is open keeps the number and so the rules it came with.
func (b *Balancer) Reconfigure(cfg Config, classes, tenants []int) error {
	next, err := New(cfg, 0)
	if err != nil {
		return err
	}
	carryOver(classes, b.loadModel.Classes, next.loadModel.Classes)
	b.gauge.Reconfigure(next.gauge, classes)
	carryOver(tenants, b.tenantBuckets, next.tenantBuckets)
	for _, s := range b.servers {
		outcomes := make([]Tally, 1+len(next.tenantBuckets))
		outcomes[0] = s.outcomesByTenant[0]
		carryOver(tenants, s.outcomesByTenant[1:], outcomes[1:])
		s.outcomesByTenant = outcomes
	}
	b.cfg, b.minObjective, b.answerMargin, b.totalQuota = next.cfg, next.minObjective, next.answerMargin, next.totalQuota
	b.tenantBuckets, b.loadModel.Classes = next.tenantBuckets, next.loadModel.Classes
	return nil
}

func carryOver[T any](from []int, previous, next []T) {
	for i, old := range from {
		if old >= 0 {
			next[i] = previous[old]
		}
	}
}
