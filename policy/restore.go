package policy

import (
	"fmt"
	"plankrouter/internal/limit"
)

// Learned state across processes and settings.

// State returns what has been learned. Servers that were left are not in it.
func (b *Balancer) State() State {
	st := State{
		SumLoadSquared: b.fit.SumLoadSquared, SumLoadLatency: b.fit.SumLoadLatency, FittedAt: b.fit.At, FleetLatency: b.fleetLatency, OwnInFlight: b.fracOwn,
		TotalInFlight: b.fracAll, Arrivals: Level(b.arrivals), Sends: Level(b.sendRate),
	}
	for _, c := range b.fit.Class {
		st.Classes = append(st.Classes, Mean{c.N, c.Sum})
	}
	for _, k := range b.buckets {
		st.Tenants = append(st.Tenants, Level(k))
	}
	for _, s := range b.servers { // the present load, of s.rif and the pool, stays out
		if s.info.Health == Ready {
			st.Servers = append(st.Servers, ServerState{
				s.info.ID, s.info.StartedAt, s.latency, s.reported,
				s.reportAt, s.network, s.failing, append([]Tally(nil), s.by...), Level(s.cold),
			})
		}
	}
	return st
}

// Restore takes what an earlier process has learned, after the list and before any request. What concerns a
// process that a listed server is not any more is left out; a state of other classes or tenants is an error.
func (b *Balancer) Restore(st *State) error {
	fits := func(n, have int) bool { return n == 0 || n == have } // what is too old is left out of a state
	if !fits(len(st.Classes), len(b.fit.Class)) || !fits(len(st.Tenants), len(b.buckets)) {
		return fmt.Errorf("logic: a state of %d classes and %d tenants does not fit %d and %d",
			len(st.Classes), len(st.Tenants), len(b.fit.Class), len(b.buckets))
	}
	b.fit.SumLoadSquared, b.fit.SumLoadLatency, b.fit.At = st.SumLoadSquared, st.SumLoadLatency, st.FittedAt
	for i, m := range st.Classes {
		b.fit.Class[i].N, b.fit.Class[i].Sum = m.Count, m.Sum
	}
	for i, l := range st.Tenants {
		b.buckets[i] = limit.Bucket(l)
	}
	b.fleetLatency, b.fracOwn, b.fracAll = st.FleetLatency, st.OwnInFlight, st.TotalInFlight
	b.arrivals, b.sendRate = limit.Rate(st.Arrivals), limit.Rate(st.Sends)
	for _, in := range st.Servers {
		s := b.byID[in.ID]
		if s == nil || s.info.StartedAt != in.StartedAt {
			continue
		}
		s.latency, s.reported, s.network, s.failing = in.Latency, in.LatencyReported, in.RoundTrip, in.ErrorRate
		s.reportAt = min(in.ReportedAt, b.now-poolAge-1) // whose load is not known: no server is idle by that
		s.cold = limit.Bucket(in.SlowStartBudget)
		copy(s.by, in.Outcomes)
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
	follow(classes, b.fit.Class, next.fit.Class)
	b.gauge.Reconfigure(next.gauge, classes)
	follow(tenants, b.buckets, next.buckets)
	for _, s := range b.servers {
		by := make([]Tally, 1+len(next.buckets))
		by[0] = s.by[0]
		follow(tenants, s.by[1:], by[1:])
		s.by = by
	}
	b.cfg, b.minAim, b.margin, b.quotas = next.cfg, next.minAim, next.margin, next.quotas
	b.buckets, b.fit.Class = next.buckets, next.fit.Class
	return nil
}

func follow[T any](from []int, was, is []T) {
	for i, n := range from {
		if n >= 0 {
			is[i] = was[n]
		}
	}
}
