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

// serverRecord is a server that the list has named.
type serverRecord struct {
	name          string             // its id in the list
	endpoint      endpoints.Endpoint // as last listed
	origin        origin             // of the process that it names
	phaseSince    time.Time          // when the present phase was listed
	process       upstream.Endpoint
	health        policy.Health
	firstByteBy   time.Time // once it drains or is gone
	attempts      int       // and probes under way
	reportedAt    time.Time // its last load report came
	excludedSince time.Time // by the policy; zero = it is not
	liveness      staleness.Liveness
}

// UpdateEndpoints takes a list, or changes of it, that arrived at that moment.
func (d *Dispatcher) UpdateEndpoints(list endpoints.List, at time.Time) {
	d.sendTo(d.listEvents, endpointsUpdated{list, at})
}

func (e endpointsUpdated) apply(d *Dispatcher) {
	d.counts.EndpointUpdates++
	d.applyEndpointsAt(e.List, e.arrivedAt)
}

// SetListValidity takes until when the list may be relied on from now on.
func (d *Dispatcher) SetListValidity(validity staleness.Validity) {
	d.sendTo(d.listEvents, listValidityChanged(validity))
}

func (e listValidityChanged) apply(d *Dispatcher) {
	d.listValidity = staleness.Validity(e)
	pickFor, _ := staleness.DrainLimits(d.options.DrainGrace)
	d.handle(policy.Event{
		Kind: policy.ListValidityChanged, TimeLeft: millis(time.Until(e.ListUntil) + pickFor),
		Elapsed: millis(time.Until(e.ProcessUntil)),
	})
}

// IsListed reports whether the list has a server of that id, in whatever phase.
func (d *Dispatcher) IsListed(server string) bool {
	is, _ := query(d, func(reply chan<- bool) event { return serverLookup{server, reply} })
	return is
}

func (e serverLookup) apply(d *Dispatcher) {
	id, have := d.serverIDs[e.server]
	e.reply <- have && d.servers[id].isListed()
}

// isListed is false for a server that is gone, whose record remains while an attempt to it is under way.
func (s *serverRecord) isListed() bool { return s != nil && s.health != policy.Gone }

// applyEndpoints takes a list as of now.
func (d *Dispatcher) applyEndpoints(list endpoints.List) { d.applyEndpointsAt(list, time.Now()) }

// applyEndpointsAt takes a list that arrived at that moment, with the cordons applied to it: the server table first, then the policy.
func (d *Dispatcher) applyEndpointsAt(list endpoints.List, arrivedAt time.Time) {
	d.listRevision = list.Revision
	now := time.Now()
	d.observeWallClock(now)
	replaced := map[upstream.Endpoint]bool{} // processes in whose place there is another one by now
	infos := make([]policy.ServerInfo, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		infos = append(infos, d.applyEndpoint(endpoint, arrivedAt, now, replaced))
	}
	if list.Complete {
		d.removeUnlisted(list.Endpoints, arrivedAt)
	}
	d.dropGoneServers(now)
	d.handle(policy.Event{Kind: policy.EndpointsUpdated, Complete: list.Complete, Servers: infos})
	d.reportedAt = time.Time{}
	for id, attempt := range d.attempts { // once the policy knows the list: what is withdrawn may be sent again
		if replaced[attempt.process] {
			d.withdrawAttempt(id, outcome.ServerDraining)
		}
	}
}

// applyEndpoint enters one server in the table, and returns it as the policy is to know it. A process that it replaces is noted.
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
		server.process.Close() // another process: nobody answers for it at the old address or on the old connections
		replaced[server.process] = true
		server.process = d.options.Upstream.Endpoint(endpoint.ID, cmp.Or(endpoint.Address, server.process.Address()))
		server.liveness = staleness.Liveness{}
	}
	server.endpoint = endpoint
	server.origin = d.originOf(server, endpoint, now)
	health, since := d.effectiveHealth(endpoint, arrivedAt, now)
	info := policy.ServerInfo{
		ID: id, Zone: zone, Cell: endpoint.Cell, Health: health, StartedAt: server.origin.startedAt,
		Uncordoned: health == policy.Ready && server.health == policy.Draining && server.origin.startedAt > server.origin.listedAt,
	}
	d.setHealth(id, server, health, since)
	return info
}

// removeUnlisted marks as gone what a complete list does not name.
func (d *Dispatcher) removeUnlisted(listed []endpoints.Endpoint, arrivedAt time.Time) {
	named := make(map[string]bool, len(listed))
	for _, endpoint := range listed {
		named[endpoint.ID] = true
	}
	for id, server := range d.servers {
		if !named[server.name] {
			d.setHealth(id, server, policy.Gone, arrivedAt)
		}
	}
}

// dropGoneServers removes the servers that are gone and have no attempt under way, and notes whether any is left to send to.
func (d *Dispatcher) dropGoneServers(now time.Time) {
	ready := false
	for id, server := range d.servers {
		ready = ready || server.health == policy.Ready
		if server.health == policy.Gone && server.attempts == 0 {
			d.rememberDeleted(d.snapshotMember(server, now))
			delete(d.servers, id)
			d.options.Upstream.Forget(server.name)
			delete(d.serverIDs, server.name)
			delete(d.usedServerIDs, id)
		}
	}
	d.ready.Store(ready)
}

// healthOfPhase reads a phase of the list. A server in an unknown one gets no new work: it is not the phase that asks for it.
func healthOfPhase(phase string) policy.Health {
	switch phase {
	case endpoints.Serving:
		return policy.Ready
	case endpoints.Deleted:
		return policy.Gone
	}
	return policy.Draining
}

// setHealth notes a server's health and, when it leaves, the end of the grace for attempts that still connect.
func (d *Dispatcher) setHealth(id policy.ServerID, server *serverRecord, health policy.Health, since time.Time) {
	before := server.health
	server.health = health
	if health != before {
		server.phaseSince = since
		defer d.traceServer(server, before)
	}
	switch {
	case health == policy.Ready:
		server.firstByteBy = time.Time{}
		if before != policy.Ready {
			server.process = d.options.Upstream.Endpoint(server.name, server.process.Address())
		}
	case before == policy.Ready:
		server.process.Close()
		_, writeFor := staleness.DrainLimits(d.options.DrainGrace)
		server.firstByteBy = since.Add(writeFor)
		for _, attempt := range d.attempts {
			if attempt.server == id {
				attempt.running.StartBy(server.firstByteBy)
			}
		}
	}
}

// serverID returns the policy's number of the server with that id in the list: the same in every life of its process and of this one.
func (d *Dispatcher) serverID(name string) policy.ServerID {
	if id, have := d.serverIDs[name]; have {
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
