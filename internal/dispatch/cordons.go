package dispatch

import (
	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
	"time"
)

const (
	reportInterval = 100 * time.Millisecond // at what changes by itself
	minExclusion   = 300 * time.Millisecond // for which the module must leave a provider out: one that is late with an answer is not avoided
)

// SetCordons lays operators' word over the list from now on, in place of the earlier one, and returns once it is in force, or once
// the pool has stopped.
func (d *Dispatcher) SetCordons(set cordon.Set) {
	query(d, func(done chan<- struct{}) event { return cordonsChanged{set, done} })
}

// IsListed reports whether the list has a provider of that id, in whatever phase.
func (d *Dispatcher) IsListed(provider string) bool {
	is, _ := query(d, func(to chan<- bool) event { return serverLookup{provider, to} })
	return is
}

func (e serverLookup) apply(d *Dispatcher) {
	id, have := d.serverIDs[e.server]
	e.reply <- have && d.isListed(d.servers[id])
}

// listedAt: a provider that has gone stays in the table while a call to it is out.
func (d *Dispatcher) isListed(k *serverRecord) bool { return k != nil && k.health != policy.Gone }

func (e cordonsChanged) apply(d *Dispatcher) {
	defer close(e.done)
	changed := d.cordons.ChangedIDs(e.set)
	d.cordons = e.set
	l := endpoints.List{Revision: d.listRevision}
	for _, provider := range changed {
		k := d.servers[d.serverIDs[provider]]
		if !d.isListed(k) || k.name != provider {
			continue
		}
		l.Endpoints = append(l.Endpoints, k.endpoint)
		if _, out := d.cordons.Cordoned[provider]; !out {
			d.options.Upstream.Forget(provider)
		}
	}
	if len(l.Endpoints) > 0 { // the directory's own lines again, as changes, under the new word
		d.applyEndpoints(l)
	}
}

// effectiveHealth is what a line of the list amounts to under the operators' word: the provider's health, and since when. One that is
// out counts as draining.
func (d *Dispatcher) effectiveHealth(m endpoints.Endpoint, told, now time.Time) (h policy.Health, since time.Time) {
	h = healthOfPhase(m.Phase)
	if at, out := d.cordons.Cordoned[m.ID]; out && h == policy.Ready {
		h = policy.Draining
		if since := d.timeOfDate(at, now); since.Before(told) {
			told = since
		}
	}
	return h, told
}

// reportServers tells now and then how many providers are listed, and how many of them operators or the module leave out; and the
// module, of which providers no answer is missing since the request is still being sent.
func (d *Dispatcher) reportServers(now time.Time) {
	if now.Sub(d.reportedAt) < reportInterval {
		return
	}
	d.reportedAt = now
	d.observeWallClock(now)
	for _, a := range d.uploads {
		d.handle(policy.Event{Kind: policy.BodyProgressed, Server: a.server})
	}
	listed, out := 0, 0
	for id, k := range d.servers {
		if !d.isListed(k) {
			continue
		}
		listed++
		if !d.balancer.IsExcluded(id) {
			k.excludedSince = time.Time{}
		} else if k.excludedSince.IsZero() {
			k.excludedSince = now
		}
		_, banned := d.cordons.Cordoned[k.name]
		if banned || !k.excludedSince.IsZero() && now.Sub(k.excludedSince) >= minExclusion {
			out++
		}
	}
	d.options.OnServerCounts(listed, out)
}
