package dispatch

import (
	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
	"time"
)

const (
	lookEvery = 100 * time.Millisecond // at what changes by itself
	outLeast  = 300 * time.Millisecond // for which the module must leave a provider out: one that is late with an answer is not avoided
)

// SetCordons lays operators' word over the list from now on, in place of the earlier one, and returns once it is in force, or once
// the pool has stopped.
func (s *Dispatcher) SetCordons(set cordon.Set) {
	ask(s, func(done chan<- struct{}) event { return banning{set, done} })
}

// IsListed reports whether the list has a provider of that id, in whatever phase.
func (s *Dispatcher) IsListed(provider string) bool {
	is, _ := ask(s, func(to chan<- bool) event { return finding{provider, to} })
	return is
}

func (e finding) apply(s *Dispatcher) {
	id, have := s.serverIDs[e.provider]
	e.to <- have && s.listed(s.providers[id])
}

// listed: a provider that has gone stays in the table while a call to it is out.
func (s *Dispatcher) listed(k *known) bool { return k != nil && k.health != policy.Gone }

func (e banning) apply(s *Dispatcher) {
	defer close(e.done)
	changed := s.bans.ChangedIDs(e.set)
	s.bans = e.set
	l := endpoints.List{Revision: s.revision}
	for _, provider := range changed {
		k := s.providers[s.serverIDs[provider]]
		if !s.listed(k) || k.name != provider {
			continue
		}
		l.Endpoints = append(l.Endpoints, k.line)
		if _, out := s.bans.Cordoned[provider]; !out {
			s.set.Upstream.Forget(provider)
		}
	}
	if len(l.Endpoints) > 0 { // the directory's own lines again, as changes, under the new word
		s.list(l)
	}
}

// effective is what a line of the list amounts to under the operators' word: the provider's health, and since when. One that is
// out counts as draining.
func (s *Dispatcher) effective(m endpoints.Endpoint, told, now time.Time) (h policy.Health, since time.Time) {
	h = health(m.Phase)
	if at, out := s.bans.Cordoned[m.ID]; out && h == policy.Ready {
		h = policy.Draining
		if since := s.since(at, now); since.Before(told) {
			told = since
		}
	}
	return h, told
}

// reportTargets tells now and then how many providers are listed, and how many of them operators or the module leave out; and the
// module, of which providers no answer is missing since the request is still being sent.
func (s *Dispatcher) reportTargets(now time.Time) {
	if now.Sub(s.lookedAt) < lookEvery {
		return
	}
	s.lookedAt = now
	s.readWall(now)
	for _, a := range s.uploads {
		s.step(policy.Event{Kind: policy.BodyProgressed, Server: a.server})
	}
	listed, out := 0, 0
	for id, k := range s.providers {
		if !s.listed(k) {
			continue
		}
		listed++
		if !s.bal.IsExcluded(id) {
			k.outSince = time.Time{}
		} else if k.outSince.IsZero() {
			k.outSince = now
		}
		_, banned := s.bans.Cordoned[k.name]
		if banned || !k.outSince.IsZero() && now.Sub(k.outSince) >= outLeast {
			out++
		}
	}
	s.set.OnServerCounts(listed, out)
}
