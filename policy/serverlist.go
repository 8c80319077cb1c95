package policy

import (
	"cmp"
	"slices"

	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/reachability"
	"plankrouter/policy/internal/tokenbucket"
)

const (
	minResubscribeWait = 500.0 // ms before subscribing again after the first failure; doubled after each further one
	maxResubscribeWait = 8e3   // ms; upper bound of that time, before jitter
)

// server is the state of one server: its list entry, its last load report and what this instance's own requests have
// shown since.
type server struct {
	info ServerInfo
	rank float64 // random; 0 to 1 in the preferred zone, 1 to 2 in other zones. Determines this instance's subset.

	rif               float64 // last reported RIF, plus own attempts started since then and minus own attempts ended since then
	latency           Ms      // service time; 0 = not known
	latencyReported   bool    // latency comes from the server's load report, not from an estimate
	reportedErrorRate float64 // fraction of its responses that are errors, by its last report
	reportedAt        Ms
	roundTrip         Ms // shortest duration of a probe; 0 = not known

	inFlight         int // own attempts at the server that are work there
	uploads          int // own attempts at the server whose request body is still being sent
	expectedLatency  Ms  // expected response time of the latest own attempt
	noResponseSince  Ms  // time of its last response or AttemptProgressed, or of a later attempt if none was in flight
	outcomesByTenant outlier.ByTenant
	ejected          bool // as last logged

	probeInFlight   bool
	probeSentAt     Ms // when the last probe to which the listed process has responded was sent; 0 = it has responded to none
	reachability    reachability.State
	slowStartBudget tokenbucket.Bucket
}

// isNew reports whether the server has just been created, before resetServer has run for its first process.
func (s *server) isNew() bool { return s.reportedAt == 0 }

// isLocal reports whether the server is in the preferred zone.
func (s *server) isLocal() bool { return s.rank < 1 }

func (b *Balancer) onEndpointsUpdated(e *Event) {
	b.resubscribeWait = 0
	if e.Complete {
		for _, s := range b.servers {
			s.info.Health = Gone
		}
	}
	for _, info := range e.Servers {
		b.updateServer(info)
	}
	slices.SortStableFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	b.removeUnlisted()
}

func (b *Balancer) updateServer(info ServerInfo) {
	s := b.byID[info.ID]
	if s == nil {
		s = &server{rank: b.rng.Float64()}
		if info.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 {
			s.rank++
		}
		b.byID[info.ID] = s
		b.servers = append(b.servers, s)
	}
	if s.isNew() || info.StartedAt != s.info.StartedAt {
		b.resetServer(s)
	}
	s.info = info
	if info.Uncordoned && b.cfg.Probes {
		b.probe(s) // otherwise the server would be probed again only by chance
	}
}

// resetServer discards the state of a server's earlier process. The slow start of the new one begins with a random part of
// the budget, so that not all instances send to it at once.
func (b *Balancer) resetServer(s *server) {
	*s = server{
		rank: s.rank, roundTrip: s.roundTrip, inFlight: s.inFlight, uploads: s.uploads,
		reportedAt: never, noResponseSince: b.now,
		outcomesByTenant: make(outlier.ByTenant, 1+len(b.tenantBuckets)),
		slowStartBudget:  tokenbucket.Bucket{Value: b.rng.Float64(), At: b.now},
	}
	b.pool.Remove(s)
}

// removeUnlisted counts the ready servers and removes those that are gone and have no attempt in flight.
func (b *Balancer) removeUnlisted() {
	b.readyCount = 0
	b.localCount = 0
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.info.Health == Ready {
			b.readyCount++
			if s.isLocal() {
				b.localCount++
			}
			return false
		}
		b.pool.Remove(s)
		if s.info.Health != Gone || s.inFlight+s.uploads > 0 {
			return false
		}
		delete(b.byID, s.info.ID)
		return true
	})
}

// onSubscriptionFailed subscribes again after an exponential, jittered backoff, since all instances share one discovery
// service.
func (b *Balancer) onSubscriptionFailed() {
	b.resubscribeWait = min(max(2*b.resubscribeWait, minResubscribeWait), maxResubscribeWait)
	b.setTimer(resubscribeTimer, b.resubscribeWait*(0.5+b.rng.Float64()))
}

// isListStale reports whether changes may have taken effect that the list does not show yet. While it is stale, only a response
// of the listed process to a probe shows that a server is still in service.
func (b *Balancer) isListStale() bool { return b.now >= b.listValidUntil }
