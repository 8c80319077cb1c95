package dispatch

import (
	"time"

	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
)

const (
	reportInterval = 100 * time.Millisecond // minimum time between two reports, unless the list was updated
	// minExclusion is how long the policy must have excluded a server before it counts as excluded: a late response excludes a
	// server for a short time.
	minExclusion = 300 * time.Millisecond
)

// SetCordons replaces the operators' cordons, and returns once they are in force or Run has ended.
func (d *Dispatcher) SetCordons(set cordon.Set) {
	query(d, func(done chan<- struct{}) event { return cordonsChanged{set, done} })
}

func (e cordonsChanged) apply(d *Dispatcher) {
	defer close(e.done)
	changed := d.cordons.ChangedIDs(e.set)
	d.cordons = e.set
	list := endpoints.List{Revision: d.listRevision}
	for _, name := range changed {
		server := d.servers[d.serverIDs[name]]
		if !server.isListed() || server.name != name {
			continue
		}
		list.Endpoints = append(list.Endpoints, server.endpoint)
		if _, cordoned := d.cordons.Cordoned[name]; !cordoned {
			d.options.Upstream.Forget(name)
		}
	}
	if len(list.Endpoints) > 0 { // applies the new cordons to the endpoints as they were listed
		d.applyEndpoints(list)
	}
}

// effectiveHealth returns the health of a listed server and the time from which it applies. A ready server that is cordoned
// counts as draining from listedAt or from the time of its cordon, whichever is earlier.
func (d *Dispatcher) effectiveHealth(endpoint endpoints.Endpoint, listedAt, now time.Time) (health policy.Health, since time.Time) {
	health = healthOfPhase(endpoint.Phase)
	since = listedAt
	if date, cordoned := d.cordons.Cordoned[endpoint.ID]; cordoned && health == policy.Ready {
		health = policy.Draining
		if cordonedAt := d.timeOfDate(date, now); cordonedAt.Before(since) {
			since = cordonedAt
		}
	}
	return health, since
}

// reportServers reports how many servers are listed and how many of those are cordoned or excluded by the policy. It does so
// after each update of the list, and otherwise at most once per reportInterval. It also sends the policy an AttemptProgressed
// event for each attempt whose response has begun: its server is not silent.
func (d *Dispatcher) reportServers(now time.Time) {
	if now.Sub(d.serversReportedAt) < reportInterval {
		return
	}
	d.serversReportedAt = now
	d.observeWallClock(now)
	for _, attempt := range d.responding {
		d.handle(policy.Event{Kind: policy.AttemptProgressed, Server: attempt.server})
	}
	listed, excluded := 0, 0
	for id, server := range d.servers {
		if !server.isListed() {
			continue
		}
		listed++
		if !d.balancer.IsExcluded(id) {
			server.excludedSince = time.Time{}
		} else if server.excludedSince.IsZero() {
			server.excludedSince = now
		}
		_, cordoned := d.cordons.Cordoned[server.name]
		if cordoned || !server.excludedSince.IsZero() && now.Sub(server.excludedSince) >= minExclusion {
			excluded++
		}
	}
	d.options.OnServerCounts(listed, excluded)
}
