package policy

import (
	"cmp"
	"slices"

	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/reachability"
	"plankrouter/policy/internal/tokenbucket"
)

const (
	minResubscribeWait = 500.0 // ms before subscribing again after a failure, doubled each time
	maxResubscribeWait = 8e3   // ms
)

// server is what is known of a server: what the list says, what its last report says and what this instance's
// own requests add.
type server struct {
	info ServerInfo
	rank float64 // this instance's order of preference: the preferred zone below 1, else at random

	rif               float64 // last reported, plus own attempts and minus own answers since
	latency           Ms      // service time; 0 = not known
	latencyReported   bool    // latency is the server's own figure
	reportedErrorRate float64 // part of its answers that its last report counts as errors
	reportedAt        Ms
	roundTrip         Ms // shortest probe

	inFlight         int // own attempts
	expectedLatency  Ms  // of the latest attempt
	silentSince      Ms  // last answer, or the first attempt after all had been answered
	outcomesByTenant outlier.ByTenant
	ejected          bool // as logged last

	probeInFlight   bool
	probeSentAt     Ms // of the last probe that shows the listed process to be there; 0 = of none
	reachability    reachability.State
	slowStartBudget tokenbucket.Bucket
}

// isNew reports whether no process of the server is known yet.
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
		b.probe(s) // else it would be found again only by chance
	}
}

// resetServer forgets what was known of a server's earlier process. The new one's slow start begins with a random part of
// the budget, so that not all instances send at once.
func (b *Balancer) resetServer(s *server) {
	*s = server{
		rank: s.rank, roundTrip: s.roundTrip, inFlight: s.inFlight,
		reportedAt: never, silentSince: b.now,
		outcomesByTenant: make(outlier.ByTenant, 1+len(b.tenantBuckets)),
		slowStartBudget:  tokenbucket.Bucket{Value: b.rng.Float64(), At: b.now},
	}
	b.pool.Remove(s)
}

// removeUnlisted counts the ready servers and removes those that are gone and owe no answer.
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
		if s.info.Health != Gone || s.inFlight > 0 {
			return false
		}
		delete(b.byID, s.info.ID)
		return true
	})
}

// onSubscriptionFailed subscribes again after a jittered, growing wait: all instances share one discovery service.
func (b *Balancer) onSubscriptionFailed() {
	b.resubscribeWait = min(max(2*b.resubscribeWait, minResubscribeWait), maxResubscribeWait)
	b.setTimer(resubscribeTimer, b.resubscribeWait*(0.5+b.rng.Float64()))
}

// isListStale reports whether changes may have taken effect that the list does not show yet. Then only a probe
// that the listed process has answered shows that a server is still there.
func (b *Balancer) isListStale() bool { return b.now >= b.listValidUntil }
