package dispatch

import (
	"cmp"
	"hash/fnv"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// noZone is the position of a zone that the policy's settings do not name.
const noZone = -1

// serverRecord is a server that is listed, or that was listed and still has an attempt or probe in flight.
type serverRecord struct {
	name              string             // id in the list
	endpoint          endpoints.Endpoint // as last listed
	processStart      processStart       // of the listed process
	phaseSince        time.Time          // when the current phase was listed
	process           upstream.Endpoint
	health            policy.Health
	firstByteDeadline time.Time // latest time for an attempt's first byte if the server drains or is gone; zero = no limit
	attemptsInFlight  int       // attempts and probes in flight
	reportedAt        time.Time // when its last load report arrived; set only while tracing; zero = none yet
	excludedSince     time.Time // when reportServers first found it excluded by the policy; zero = it is not excluded
	liveness          staleness.Liveness
}

// UpdateEndpoints queues a complete list, or changes to the list, that arrived at the given time.
func (d *Dispatcher) UpdateEndpoints(list endpoints.List, at time.Time) {
	d.sendTo(d.listEvents, endpointsUpdated{list, at})
}

func (e endpointsUpdated) apply(d *Dispatcher) {
	d.counts.EndpointUpdates++
	d.applyEndpointsAt(e.List, e.arrivedAt)
}

// SetListValidity queues a new validity of the list.
func (d *Dispatcher) SetListValidity(validity staleness.Validity) {
	d.sendTo(d.listEvents, listValidityChanged(validity))
}

func (e listValidityChanged) apply(d *Dispatcher) {
	d.listValidity = staleness.Validity(e)
	pickWindow, _ := staleness.DrainLimits(d.options.DrainGrace)
	d.handle(policy.Event{
		Kind: policy.ListValidityChanged, TimeLeft: millis(time.Until(e.ListUntil) + pickWindow),
		Elapsed: millis(time.Until(e.ProcessUntil)),
	})
}

// IsListed reports whether the list has a server of that id, draining ones included.
func (d *Dispatcher) IsListed(server string) bool {
	listed, _ := query(d, func(reply chan<- bool) event { return serverLookup{server, reply} })
	return listed
}

func (e serverLookup) apply(d *Dispatcher) {
	id, found := d.serverIDs[e.server]
	e.reply <- found && d.servers[id].isListed()
}

// isListed reports whether the list has the server. The record of one that is gone remains while an attempt to it is in flight.
func (s *serverRecord) isListed() bool { return s != nil && s.health != policy.Gone }

// applyEndpoints applies a list as of now.
func (d *Dispatcher) applyEndpoints(list endpoints.List) { d.applyEndpointsAt(list, time.Now()) }

// applyEndpointsAt applies a list that arrived at arrivedAt, and the cordons, to the server table and then to the policy.
func (d *Dispatcher) applyEndpointsAt(list endpoints.List, arrivedAt time.Time) {
	d.listRevision = list.Revision
	now := time.Now()
	d.observeWallClock(now)
	replaced := map[upstream.Endpoint]bool{} // processes that the list replaces by another
	infos := make([]policy.ServerInfo, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		infos = append(infos, d.applyEndpoint(endpoint, arrivedAt, now, replaced))
	}
	if list.Complete {
		d.removeUnlisted(list.Endpoints, arrivedAt)
	}
	d.closeTakenOver(list.Endpoints, replaced)
	d.dropGoneServers(now)
	d.handle(policy.Event{Kind: policy.EndpointsUpdated, Complete: list.Complete, Servers: infos})
	d.serversReportedAt = time.Time{}
	for id, attempt := range d.attempts { // after the policy has the list: withdrawn attempts may be retried
		if replaced[attempt.process] {
			d.withdrawAttempt(id, outcome.ServerDraining)
		}
	}
}

// applyEndpoint updates one server in the table, and returns its entry for the policy. A process that it replaces is added to
// replaced.
func (d *Dispatcher) applyEndpoint(endpoint endpoints.Endpoint, arrivedAt, now time.Time, replaced map[upstream.Endpoint]bool) policy.ServerInfo {
	id := d.serverID(endpoint.ID)
	zone, known := d.zonePositions[endpoint.Zone]
	if !known {
		zone = noZone
	}
	server := d.servers[id]
	if server == nil {
		server = &serverRecord{
			name: endpoint.ID, health: policy.Ready, process: d.options.Upstream.Endpoint(endpoint.ID, endpoint.Address),
			phaseSince: arrivedAt,
		}
		d.servers[id] = server
	}
	if endpoint.Address != "" && endpoint.Address != server.process.Address() || endpoint.StartedAt != server.endpoint.StartedAt {
		server.process.Close() // the list names another process, which the old address and connections don't reach
		replaced[server.process] = true
		server.process = d.options.Upstream.Endpoint(endpoint.ID, cmp.Or(endpoint.Address, server.process.Address()))
		server.liveness = staleness.Liveness{}
	}
	server.endpoint = endpoint
	server.processStart = d.processStartOf(server, endpoint, now)
	health, since := d.effectiveHealth(endpoint, arrivedAt, now)
	info := policy.ServerInfo{
		ID: id, Zone: zone, Cell: endpoint.Cell, Health: health, StartedAt: server.processStart.startedAt,
		Uncordoned: health == policy.Ready && server.health == policy.Draining && server.processStart.startedAt > server.processStart.listedAt,
	}
	d.setHealth(id, server, health, since)
	return info
}

// closeTakenOver adds to replaced the processes of servers that are no longer ready and whose address another server serves at: a
// connection that is established from now on reaches that one.
func (d *Dispatcher) closeTakenOver(listed []endpoints.Endpoint, replaced map[upstream.Endpoint]bool) {
	serving := make(map[string]string, len(listed)) // ids by address
	for _, endpoint := range listed {
		if endpoint.Phase == endpoints.Serving && endpoint.Address != "" {
			serving[endpoint.Address] = endpoint.ID
		}
	}
	for _, server := range d.servers {
		owner, taken := serving[server.process.Address()]
		if taken && owner != server.name && server.health != policy.Ready {
			server.process.Close()
			replaced[server.process] = true
		}
	}
}

// removeUnlisted marks the servers that a complete list does not contain as gone.
func (d *Dispatcher) removeUnlisted(listed []endpoints.Endpoint, arrivedAt time.Time) {
	isListed := make(map[string]bool, len(listed))
	for _, endpoint := range listed {
		isListed[endpoint.ID] = true
	}
	for id, server := range d.servers {
		if !isListed[server.name] {
			d.setHealth(id, server, policy.Gone, arrivedAt)
		}
	}
}

// dropGoneServers removes the servers that are gone and have no attempt in flight, and updates what Ready returns.
func (d *Dispatcher) dropGoneServers(now time.Time) {
	ready := false
	for id, server := range d.servers {
		ready = ready || server.health == policy.Ready
		if server.health == policy.Gone && server.attemptsInFlight == 0 {
			d.rememberDeleted(d.snapshotMember(server, now))
			delete(d.servers, id)
			d.options.Upstream.Forget(server.name)
			delete(d.serverIDs, server.name)
			delete(d.usedServerIDs, id)
		}
	}
	d.ready.Store(ready)
}

// healthOfPhase converts a phase of the list. A server in an unknown phase counts as draining, so that it gets no new attempts.
func healthOfPhase(phase string) policy.Health {
	switch phase {
	case endpoints.Serving:
		return policy.Ready
	case endpoints.Deleted:
		return policy.Gone
	}
	return policy.Draining
}

// setHealth sets a server's health as of since. When a server stops being ready, its idle connections are closed, and attempts
// that are not written yet must be sent within the drain grace.
func (d *Dispatcher) setHealth(id policy.ServerID, server *serverRecord, health policy.Health, since time.Time) {
	before := server.health
	server.health = health
	if health != before {
		server.phaseSince = since
		defer d.traceServer(server, before)
	}
	switch {
	case health == policy.Ready:
		server.firstByteDeadline = time.Time{}
		if before != policy.Ready {
			server.process = d.options.Upstream.Endpoint(server.name, server.process.Address())
		}
	case before == policy.Ready:
		server.process.Close()
		_, writeWindow := staleness.DrainLimits(d.options.DrainGrace)
		server.firstByteDeadline = since.Add(writeWindow)
		for _, attempt := range d.attempts {
			if attempt.server == id {
				attempt.upstreamAttempt.StartBy(server.firstByteDeadline)
			}
		}
	}
}

// serverID returns the policy's id of the server with that id in the list, and assigns one to a new server: a hash, incremented
// on a collision, so that the id normally stays the same after a restart of the server or of this process.
func (d *Dispatcher) serverID(name string) policy.ServerID {
	if id, found := d.serverIDs[name]; found {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := policy.ServerID(hash.Sum32())
	for d.usedServerIDs[id] {
		id++
	}
	d.serverIDs[name] = id
	d.usedServerIDs[id] = true
	return id
}
