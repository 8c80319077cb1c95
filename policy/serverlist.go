package policy

import (
	"cmp"
	"plankrouter/policy/internal/tokenbucket"
	"slices"
)

// The server table: what the list says and what the last report and this instance's own traffic add.

const (
	minResubscribeWait = 500.0 // ms before subscribing anew after a failure, doubled each time
	maxResubscribeWait = 8e3   // ms
)

type server struct {
	info                    ServerInfo
	rank                    float64 // this sidecar's order of preference: own zone first, else at random
	rif                     float64 // last probed, plus own sends and minus own answers since
	latency                 Ms      // service time
	reportedAt, probeSentAt Ms      // probeSentAt: a probe was sent then that proves the listed process to be there
	roundTrip               Ms      // lowest probe round trip
	latencyReported         bool    // latency is the server's own figure
	inFlight                int
	expectedLatency         Ms      // of the latest attempt sent
	silentSince             Ms      // last answer, or the first send after all was answered
	outcomesByTenant        []Tally // own outcomes: of all, then by tenant
	reportedErrorRate       float64 // part of what it answers that its last report counts as errors
	ejected                 bool
	probeInFlight           bool               // a probe is under way
	unreachable             bool               // a probe or a connection has failed since the last answer: no first choice
	consecutiveFailures     int                // such failures in a row,
	nextProbeAt             Ms                 // before which it is not probed again
	slowStartBudget         tokenbucket.Bucket // cold-start budget
}

func (b *Balancer) onEndpointsUpdated(e *Event) {
	b.resubscribeWait = 0
	for i := 0; e.Complete && i < len(b.servers); i++ {
		b.servers[i].info.Health = Gone
	}
	for _, info := range e.Servers {
		s := b.byID[info.ID]
		if s == nil {
			s = &server{rank: b.rng.Float64()}
			if info.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 {
				s.rank++
			}
			b.byID[info.ID] = s
			b.servers = append(b.servers, s)
		}
		if s.reportedAt == 0 || info.StartedAt != s.info.StartedAt {
			// A new process: what was known of the old one no longer holds.
			*s = server{
				rank: s.rank, roundTrip: s.roundTrip, inFlight: s.inFlight, reportedAt: never, silentSince: b.now,
				outcomesByTenant: make([]Tally, 1+len(b.tenantBuckets)),
				slowStartBudget:  tokenbucket.Bucket{Value: b.rng.Float64(), At: b.now},
			} // a random part: not all send at once
			b.pool.Remove(s)
		}
		if s.info = info; info.Uncordoned && b.cfg.Probes {
			b.probe(s) // else it would be found again by chance
		}
	}
	b.readyCount, b.localCount = 0, 0
	slices.SortStableFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.info.Health == Ready {
			b.readyCount++
			if s.rank < 1 {
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

// onSubscriptionFailed subscribes anew after a jittered, growing wait: the list is one service for all.
func (b *Balancer) onSubscriptionFailed() {
	b.resubscribeWait = min(max(2*b.resubscribeWait, minResubscribeWait), maxResubscribeWait)
	b.setTimer(resubscribeTimer, b.resubscribeWait*(0.5+b.rng.Float64()))
}

// isListStale: what the list does not say may count as told. Only a probe of a process known before can tell it.
func (b *Balancer) isListStale() bool { return b.now >= b.listValidUntil }
