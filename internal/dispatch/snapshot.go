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
func (d *Dispatcher) Snapshot() *snapshot.Snapshot {
	snap, _ := query(d, func(to chan<- *snapshot.Snapshot) event { return snapshotRequested{to} })
	return snap
}

func (e snapshotRequested) apply(d *Dispatcher) { e.reply <- d.snapshot(time.Now()) }

// snapshot gives the module's state the names by which the next process knows its providers.
func (d *Dispatcher) snapshot(now time.Time) *snapshot.Snapshot {
	st := d.balancer.State()
	out := &snapshot.Snapshot{
		TakenAt: d.options.WallClock(), Program: d.options.Name, Deployment: d.options.Deployment,
		Revision: d.listRevision,
	}
	names := map[policy.ServerID]string{}
	for id, k := range d.servers {
		names[id] = k.name
		out.Members = append(out.Members, d.snapshotMember(k, now))
	}
	for _, m := range d.deletedServers {
		if _, back := d.serverIDs[m.ID]; !back {
			out.Members = append(out.Members, m)
		}
	}
	slices.SortFunc(out.Members, func(a, b snapshot.Member) int { return cmp.Compare(a.ID, b.ID) })
	var err error
	if out.Reuse, err = d.options.Upstream.State(now); err != nil {
		d.options.Logf("snapshot=connections state=left_out err=%q", err)
	}
	l := &out.Learned
	*l = snapshot.Learned{
		Now: d.clock.at(now), FleetLatency: st.FleetLatency, FracOwn: st.OwnInFlight, FracAll: st.TotalInFlight,
		Fit:      snapshot.Fit{XX: st.SumLoadSquared, XY: st.SumLoadLatency, At: st.FittedAt},
		Arrivals: snapshot.Rate{V: st.Arrivals.Value, At: st.Arrivals.At}, Sends: snapshot.Rate{V: st.Sends.Value, At: st.Sends.At},
	}
	for _, n := range d.classPositions { // the next process numbers them in the order of the settings
		l.Fit.Classes = append(l.Fit.Classes, snapshot.ClassFit{N: st.Classes[n].Count, Sum: st.Classes[n].Sum})
	}
	for _, n := range d.tenantPositions {
		l.Tenants = append(l.Tenants, snapshot.Bucket{Tokens: st.Tenants[n].Value, At: toSnapshotTime(st.Tenants[n].At)})
	}
	for _, in := range st.Servers {
		one := snapshot.LearnedServer{
			Name: names[in.ID], StartedAt: d.startDate(in), Latency: in.Latency, Reported: in.LatencyReported,
			ReportAt: toSnapshotTime(in.ReportedAt), Network: in.RoundTrip, Failing: in.ErrorRate,
			Cold: snapshot.Rate{V: max(0, in.SlowStartBudget.Value), At: in.SlowStartBudget.At},
		}
		for who := range 1 + len(d.tenantPositions) { // of all, then by tenant
			t := in.Outcomes[0]
			if who > 0 {
				t = in.Outcomes[1+d.tenantPositions[who-1]]
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

// rememberDeleted keeps a deleted provider in mind for the next process, in place of the one forgotten longest.
func (d *Dispatcher) rememberDeleted(m snapshot.Member) {
	d.deletedServers = append(slices.DeleteFunc(d.deletedServers, func(o snapshot.Member) bool { return o.ID == m.ID }), m)
	d.deletedServers = d.deletedServers[max(0, len(d.deletedServers)-maxDeletedServers):]
}

// startDate is the date that the list gives the start of the process of which the module has learned; one that operators have put back
// may be another by now, and has none of the list's.
func (d *Dispatcher) startDate(in policy.ServerState) float64 {
	if k := d.servers[in.ID]; k != nil && k.origin.listedAt == in.StartedAt {
		return k.origin.listedDate
	}
	return in.StartedAt
}

// snapshotMember words the provider for a snapshot.
func (d *Dispatcher) snapshotMember(k *serverRecord, now time.Time) snapshot.Member {
	m := k.endpoint
	phase := m.Phase
	if k.health == policy.Gone { // also where a whole list left it out
		phase = endpoints.Deleted
	}
	out := snapshot.Member{
		ID: m.ID, Address: k.process.Address(), Locality: m.Zone, Cell: m.Cell, Phase: phase,
		UpSince: m.StartedAt, ToldAt: math.Floor(d.wallDate(k.phaseSince, now)),
	}
	if k.origin.listedAt > 0 {
		out.Age = max(1, d.clock.at(now)-k.origin.listedAt) // an age of 0 is none
	}
	return out
}

// toSnapshotTime turns the module's word for a time that never was into the snapshot's, 0; never turns it back.
func toSnapshotTime(at policy.Ms) float64 {
	if math.IsInf(at, -1) {
		return 0
	}
	return at
}

func fromSnapshotTime(at float64) policy.Ms {
	if at == 0 {
		return math.Inf(-1)
	}
	return at
}

// restore begins with the list and what was learned before, instead of the configuration's list alone.
func (d *Dispatcher) restore(before *snapshot.Restored) {
	listed := before.List
	listed.Members = nil
	for _, m := range before.List.Members {
		if m.Phase == endpoints.Deleted {
			d.rememberDeleted(m)
		} else {
			listed.Members = append(listed.Members, m)
		}
	}
	d.predecessorAges = map[string]processAge{}
	for _, m := range listed.Members {
		if m.Age > 0 {
			d.predecessorAges[m.ID] = processAge{m.UpSince, m.Age}
		}
	}
	d.applyEndpoints(listed.Config())
	d.predecessorAges = nil
	now := time.Now()
	for _, m := range listed.Members {
		if id, have := d.serverIDs[m.ID]; have && m.ToldAt > 0 {
			d.servers[id].phaseSince = d.timeOfDate(m.ToldAt, now) // a drain does not begin anew with this process
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
		st.Tenants = append(st.Tenants, policy.Level{Value: t.Tokens, At: fromSnapshotTime(t.At)})
	}
	for _, in := range l.Servers {
		id, have := d.serverIDs[in.Name]
		if !have {
			continue
		}
		startedAt := in.StartedAt
		if o := d.servers[id].origin; o.listedDate == startedAt {
			startedAt = o.listedAt
		}
		one := policy.ServerState{
			ID: id, StartedAt: startedAt, Latency: in.Latency, LatencyReported: in.Reported,
			ReportedAt: fromSnapshotTime(in.ReportAt), RoundTrip: in.Network, ErrorRate: in.Failing,
			SlowStartBudget: policy.Level{Value: in.Cold.V, At: in.Cold.At},
			Outcomes:        make([]policy.Tally, 1+len(d.options.Policy.Tenants)),
		}
		for _, t := range in.By {
			if int(t.Who) < len(one.Outcomes) {
				one.Outcomes[t.Who] = policy.Tally{Successes: t.Oks, Failures: t.Misses, At: t.At}
			}
		}
		st.Servers = append(st.Servers, one)
	}
	if err := d.balancer.Restore(&st); err != nil {
		d.options.Logf("snapshot=decisions state=left_out err=%q", err)
	}
	if len(before.Reuse) > 0 {
		age := duration(d.clock.at(now) - l.Now)
		if err := d.options.Upstream.Restore(now, before.Reuse, age); err != nil {
			d.options.Logf("snapshot=connections state=left_out err=%q", err)
		}
	}
}
