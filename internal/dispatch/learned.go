package dispatch

import (
	"cmp"
	"math"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/snapshot"
	"plankrouter/policy"
	"slices"
	"time"
)

// Snapshot returns what the sidecar has learned, or nil if it has stopped. Who listens to which directory is filled in by
// the caller.
func (s *Dispatcher) Snapshot() *snapshot.Snapshot {
	snap, _ := ask(s, func(to chan<- *snapshot.Snapshot) event { return taking{to} })
	return snap
}

func (e taking) apply(s *Dispatcher) { e.to <- s.snapshot(time.Now()) }

// snapshot gives the module's state the names by which the next process knows its providers.
func (s *Dispatcher) snapshot(now time.Time) *snapshot.Snapshot {
	st := s.bal.State()
	out := &snapshot.Snapshot{
		TakenAt: s.set.WallClock(), Program: s.set.Name, Deployment: s.set.Deployment,
		Revision: s.revision,
	}
	names := map[policy.ServerID]string{}
	for id, k := range s.providers {
		names[id] = k.name
		out.Members = append(out.Members, s.member(k, now))
	}
	for _, m := range s.gone {
		if _, back := s.serverIDs[m.ID]; !back {
			out.Members = append(out.Members, m)
		}
	}
	slices.SortFunc(out.Members, func(a, b snapshot.Member) int { return cmp.Compare(a.ID, b.ID) })
	var err error
	if out.Reuse, err = s.set.Upstream.State(now); err != nil {
		s.set.Logf("snapshot=connections state=left_out err=%q", err)
	}
	l := &out.Learned
	*l = snapshot.Learned{
		Now: s.clock.at(now), FleetLatency: st.FleetLatency, FracOwn: st.OwnInFlight, FracAll: st.TotalInFlight,
		Fit:      snapshot.Fit{XX: st.SumLoadSquared, XY: st.SumLoadLatency, At: st.FittedAt},
		Arrivals: snapshot.Rate{V: st.Arrivals.Value, At: st.Arrivals.At}, Sends: snapshot.Rate{V: st.Sends.Value, At: st.Sends.At},
	}
	for _, n := range s.classes { // the next process numbers them in the order of the settings
		l.Fit.Classes = append(l.Fit.Classes, snapshot.ClassFit{N: st.Classes[n].Count, Sum: st.Classes[n].Sum})
	}
	for _, n := range s.tenants {
		l.Tenants = append(l.Tenants, snapshot.Bucket{Tokens: st.Tenants[n].Value, At: once(st.Tenants[n].At)})
	}
	for _, in := range st.Servers {
		one := snapshot.LearnedServer{
			Name: names[in.ID], StartedAt: s.dateOf(in), Latency: in.Latency, Reported: in.LatencyReported,
			ReportAt: once(in.ReportedAt), Network: in.RoundTrip, Failing: in.ErrorRate,
			Cold: snapshot.Rate{V: max(0, in.SlowStartBudget.Value), At: in.SlowStartBudget.At},
		}
		for who := range 1 + len(s.tenants) { // of all, then by tenant
			t := in.Outcomes[0]
			if who > 0 {
				t = in.Outcomes[1+s.tenants[who-1]]
			}
			if t.Successes+t.Failures > 0 {
				one.By = append(one.By, snapshot.Tally{Who: uint32(who), Oks: t.Successes, Misses: t.Failures, At: t.At})
			}
		}
		l.Servers = append(l.Servers, one)
	}
	slices.SortFunc(l.Servers, func(a, b snapshot.LearnedServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// forget keeps a deleted provider in mind for the next process, in place of the one forgotten longest.
func (s *Dispatcher) forget(m snapshot.Member) {
	s.gone = append(slices.DeleteFunc(s.gone, func(o snapshot.Member) bool { return o.ID == m.ID }), m)
	s.gone = s.gone[max(0, len(s.gone)-goneMost):]
}

// dateOf is the date that the list gives the start of the process of which the module has learned; one that operators have put back
// may be another by now, and has none of the list's.
func (s *Dispatcher) dateOf(in policy.ServerState) float64 {
	if k := s.providers[in.ID]; k != nil && k.origin.listed == in.StartedAt {
		return k.origin.upSince
	}
	return in.StartedAt
}

// member words the provider for a snapshot.
func (s *Dispatcher) member(k *known, now time.Time) snapshot.Member {
	m := k.line
	phase := m.Phase
	if k.health == policy.Gone { // also where a whole list left it out
		phase = endpoints.Deleted
	}
	out := snapshot.Member{
		ID: m.ID, Address: k.at.Address(), Locality: m.Zone, Cell: m.Cell, Phase: phase,
		UpSince: m.StartedAt, ToldAt: math.Floor(s.wallAt(k.toldAt, now)),
	}
	if k.origin.listed > 0 {
		out.Age = max(1, s.clock.at(now)-k.origin.listed) // an age of 0 is none
	}
	return out
}

// once turns the module's word for a time that never was into the snapshot's, 0; never turns it back.
func once(at policy.Ms) float64 {
	if math.IsInf(at, -1) {
		return 0
	}
	return at
}

func never(at float64) policy.Ms {
	if at == 0 {
		return math.Inf(-1)
	}
	return at
}

// restore begins with the list and what was learned before, instead of the configuration's list alone.
func (s *Dispatcher) restore(before *snapshot.Restored) {
	listed := before.List
	listed.Members = nil
	for _, m := range before.List.Members {
		if m.Phase == endpoints.Deleted {
			s.forget(m)
		} else {
			listed.Members = append(listed.Members, m)
		}
	}
	s.ages = map[string]age{}
	for _, m := range listed.Members {
		if m.Age > 0 {
			s.ages[m.ID] = age{m.UpSince, m.Age}
		}
	}
	s.list(listed.Config())
	s.ages = nil
	now := time.Now()
	for _, m := range listed.Members {
		if id, have := s.serverIDs[m.ID]; have && m.ToldAt > 0 {
			s.providers[id].toldAt = s.since(m.ToldAt, now) // a drain does not begin anew with this process
		}
	}
	l := &before.Learned
	st := policy.State{
		SumLoadSquared: l.Fit.XX, SumLoadLatency: l.Fit.XY, FittedAt: l.Fit.At, FleetLatency: l.FleetLatency, OwnInFlight: l.FracOwn,
		TotalInFlight: l.FracAll, Arrivals: policy.Level{Value: l.Arrivals.V, At: l.Arrivals.At}, Sends: policy.Level{Value: l.Sends.V, At: l.Sends.At},
	}
	for _, c := range l.Fit.Classes {
		st.Classes = append(st.Classes, policy.Mean{Count: c.N, Sum: c.Sum})
	}
	for _, t := range l.Tenants {
		st.Tenants = append(st.Tenants, policy.Level{Value: t.Tokens, At: never(t.At)})
	}
	for _, in := range l.Servers {
		id, have := s.serverIDs[in.Name]
		if !have {
			continue
		}
		startedAt := in.StartedAt
		if o := s.providers[id].origin; o.upSince == startedAt {
			startedAt = o.listed
		}
		one := policy.ServerState{
			ID: id, StartedAt: startedAt, Latency: in.Latency, LatencyReported: in.Reported,
			ReportedAt: never(in.ReportAt), RoundTrip: in.Network, ErrorRate: in.Failing,
			SlowStartBudget: policy.Level{Value: in.Cold.V, At: in.Cold.At},
			Outcomes:        make([]policy.Tally, 1+len(s.set.Policy.Tenants)),
		}
		for _, t := range in.By {
			if int(t.Who) < len(one.Outcomes) {
				one.Outcomes[t.Who] = policy.Tally{Successes: t.Oks, Failures: t.Misses, At: t.At}
			}
		}
		st.Servers = append(st.Servers, one)
	}
	if err := s.bal.Restore(&st); err != nil {
		s.set.Logf("snapshot=decisions state=left_out err=%q", err)
	}
	if len(before.Reuse) > 0 {
		age := duration(s.clock.at(now) - l.Now)
		if err := s.set.Upstream.Restore(now, before.Reuse, age); err != nil {
			s.set.Logf("snapshot=connections state=left_out err=%q", err)
		}
	}
}
