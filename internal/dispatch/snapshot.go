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

// maxDeletedServers limits the number of deleted servers in a snapshot. A release may replace all servers of a large fleet at
// once.
const maxDeletedServers = 2048

// Snapshot returns the endpoint list and the learned state for a later process, or nil if Run has ended. The caller fills in the
// address of discovery.
func (d *Dispatcher) Snapshot() *snapshot.Snapshot {
	snap, _ := query(d, func(reply chan<- *snapshot.Snapshot) event { return snapshotRequested{reply} })
	return snap
}

func (e snapshotRequested) apply(d *Dispatcher) { e.reply <- d.snapshot(time.Now()) }

// snapshot builds the snapshot, in which the policy's state refers to servers by their ids in the list.
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
	for _, position := range d.classPositions { // in the order of the settings, by which the next process numbers them
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

// snapshotServer converts what the policy has learned about a server's process.
func (d *Dispatcher) snapshotServer(server policy.ServerState) snapshot.LearnedServer {
	out := snapshot.LearnedServer{
		StartedAt: d.startDate(server), Latency: server.Latency, LatencyReported: server.LatencyReported,
		ReportedAt: toSnapshotTime(server.ReportedAt), RoundTrip: server.RoundTrip, ErrorRate: server.ErrorRate,
		SlowStartBudget: snapshot.Rate{Value: max(0, server.SlowStartBudget.Value), At: server.SlowStartBudget.At},
	}
	if record := d.servers[server.ID]; record != nil {
		out.Name = record.name
	}
	for i := range 1 + len(d.tenantPositions) { // 0 is the tally of all requests, i that of the i-th tenant in the settings
		tally := server.Outcomes[0]
		if i > 0 {
			tally = server.Outcomes[1+d.tenantPositions[i-1]]
		}
		if tally.Successes+tally.Failures > 0 {
			out.Outcomes = append(out.Outcomes, snapshot.Tally{Tenant: uint32(i), Successes: tally.Successes, Failures: tally.Failures, At: tally.At})
		}
	}
	return out
}

// snapshotMembers returns the listed servers and those in deletedServers, sorted by id.
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

// snapshotMember returns a server's entry in the snapshot.
func (d *Dispatcher) snapshotMember(server *serverRecord, now time.Time) snapshot.Member {
	phase := server.endpoint.Phase
	if server.health == policy.Gone { // including those that a complete list does not contain
		phase = endpoints.Deleted
	}
	member := snapshot.Member{
		ID: server.endpoint.ID, Address: server.process.Address(), Zone: server.endpoint.Zone, Cell: server.endpoint.Cell, Phase: phase,
		StartedAt: server.endpoint.StartedAt, PhaseSince: math.Floor(d.dateOfTime(server.phaseSince, now)),
	}
	if server.processStart.listedAt > 0 {
		member.Age = max(1, d.clock.at(now)-server.processStart.listedAt) // an age of 0 means unknown
	}
	return member
}

// rememberDeleted adds a server to deletedServers. Beyond maxDeletedServers, the one deleted longest ago is dropped.
func (d *Dispatcher) rememberDeleted(deleted snapshot.Member) {
	d.deletedServers = slices.DeleteFunc(d.deletedServers, func(m snapshot.Member) bool { return m.ID == deleted.ID })
	d.deletedServers = append(d.deletedServers, deleted)
	d.deletedServers = d.deletedServers[max(0, len(d.deletedServers)-maxDeletedServers):]
}

// startDate returns the start date of the process that the policy's state is about, as given in the list. If the server may
// have been restarted while it was cordoned, the list has no date for that process, and the policy's start time is returned.
func (d *Dispatcher) startDate(server policy.ServerState) float64 {
	if record := d.servers[server.ID]; record != nil && record.processStart.listedAt == server.StartedAt {
		return record.processStart.listedDate
	}
	return server.StartedAt
}

// toSnapshotTime converts the policy's value for "never", minus infinity, to that of the snapshot, 0. Other times stay as they
// are.
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
