package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/snapshot"
	"plankrouter/policy"
)

// maxDeletedServers bounds the deleted servers that the next process gets to know: a release may replace all at once.
const maxDeletedServers = 2048

// Snapshot returns what the sidecar has learned, or nil if Run has ended. The address of discovery is filled in by the caller.
func (d *Dispatcher) Snapshot() *snapshot.Snapshot {
	snap, _ := query(d, func(reply chan<- *snapshot.Snapshot) event { return snapshotRequested{reply} })
	return snap
}

func (e snapshotRequested) apply(d *Dispatcher) { e.reply <- d.snapshot(time.Now()) }

// snapshot gives the policy's state the names by which the next process knows its servers.
func (d *Dispatcher) snapshot(now time.Time) *snapshot.Snapshot {
	state := d.balancer.State()
	out := &snapshot.Snapshot{
		TakenAt: d.options.WallClock(), Program: d.options.Name, Deployment: d.options.Deployment,
		Revision: d.listRevision, Members: d.snapshotMembers(now),
	}
	var err error
	if out.Keepalive, err = d.options.Upstream.State(now); err != nil {
		d.options.Logf("snapshot=connections state=not_saved err=%q", err)
	}
	learned := &out.Learned
	*learned = snapshot.Learned{
		Now: d.clock.at(now), FleetLatency: state.FleetLatency, OwnInFlight: state.OwnInFlight, TotalInFlight: state.TotalInFlight,
		Fit:      snapshot.Fit{SumLoadSquared: state.SumLoadSquared, SumLoadLatency: state.SumLoadLatency, FittedAt: state.FittedAt},
		Arrivals: snapshot.Rate{Value: state.Arrivals.Value, At: state.Arrivals.At},
		Sends:    snapshot.Rate{Value: state.Sends.Value, At: state.Sends.At},
	}
	for _, position := range d.classPositions { // the next process numbers them in the order of the settings
		class := state.Classes[position]
		learned.Fit.Classes = append(learned.Fit.Classes, snapshot.ClassFit{Count: class.Count, Sum: class.Sum})
	}
	for _, position := range d.tenantPositions {
		tenant := state.Tenants[position]
		learned.Tenants = append(learned.Tenants, snapshot.Bucket{Tokens: tenant.Value, At: toSnapshotTime(tenant.At)})
	}
	for _, server := range state.Servers {
		learned.Servers = append(learned.Servers, d.snapshotServer(server))
	}
	slices.SortFunc(learned.Servers, func(a, b snapshot.LearnedServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// snapshotServer returns what was learned of a server's process.
func (d *Dispatcher) snapshotServer(server policy.ServerState) snapshot.LearnedServer {
	out := snapshot.LearnedServer{
		StartedAt: d.startDate(server), Latency: server.Latency, LatencyReported: server.LatencyReported,
		ReportedAt: toSnapshotTime(server.ReportedAt), RoundTrip: server.RoundTrip, ErrorRate: server.ErrorRate,
		SlowStartBudget: snapshot.Rate{Value: max(0, server.SlowStartBudget.Value), At: server.SlowStartBudget.At},
	}
	if record := d.servers[server.ID]; record != nil {
		out.Name = record.name
	}
	for who := range 1 + len(d.tenantPositions) { // of all requests, then by tenant
		tally := server.Outcomes[0]
		if who > 0 {
			tally = server.Outcomes[1+d.tenantPositions[who-1]]
		}
		if tally.Successes+tally.Failures > 0 {
			out.Outcomes = append(out.Outcomes, snapshot.Tally{Tenant: uint32(who), Successes: tally.Successes, Failures: tally.Failures, At: tally.At})
		}
	}
	return out
}

// snapshotMembers returns the list, in the order of ids, with the servers that were deleted lately.
func (d *Dispatcher) snapshotMembers(now time.Time) (members []snapshot.Member) {
	for _, server := range d.servers {
		members = append(members, d.snapshotMember(server, now))
	}
	for _, member := range d.deletedServers {
		if _, listedAgain := d.serverIDs[member.ID]; !listedAgain {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b snapshot.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// snapshotMember returns a server's line of the list.
func (d *Dispatcher) snapshotMember(server *serverRecord, now time.Time) snapshot.Member {
	phase := server.endpoint.Phase
	if server.health == policy.Gone { // also where a complete list does not name it
		phase = endpoints.Deleted
	}
	member := snapshot.Member{
		ID: server.endpoint.ID, Address: server.process.Address(), Zone: server.endpoint.Zone, Cell: server.endpoint.Cell, Phase: phase,
		StartedAt: server.endpoint.StartedAt, PhaseSince: math.Floor(d.dateOfTime(server.phaseSince, now)),
	}
	if server.origin.listedAt > 0 {
		member.Age = max(1, d.clock.at(now)-server.origin.listedAt) // an age of 0 is none
	}
	return member
}

// rememberDeleted keeps a deleted server for the next process, in place of the one deleted longest ago.
func (d *Dispatcher) rememberDeleted(deleted snapshot.Member) {
	d.deletedServers = slices.DeleteFunc(d.deletedServers, func(m snapshot.Member) bool { return m.ID == deleted.ID })
	d.deletedServers = append(d.deletedServers, deleted)
	d.deletedServers = d.deletedServers[max(0, len(d.deletedServers)-maxDeletedServers):]
}

// startDate is the date that the list gives the start of the process of which the policy has learned; one that operators have put back
// may be another by now, and the list has no date of it.
func (d *Dispatcher) startDate(server policy.ServerState) float64 {
	if record := d.servers[server.ID]; record != nil && record.origin.listedAt == server.StartedAt {
		return record.origin.listedDate
	}
	return server.StartedAt
}

// toSnapshotTime turns the policy's time of what never happened, minus infinity, into the snapshot's, 0.
func toSnapshotTime(at policy.Ms) float64 {
	if math.IsInf(at, -1) {
		return 0
	}
	return at
}

// fromSnapshotTime is the inverse of toSnapshotTime.
func fromSnapshotTime(at float64) policy.Ms {
	if at == 0 {
		return math.Inf(-1)
	}
	return at
}
