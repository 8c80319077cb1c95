package policy

import (
	"cmp"
	"plankrouter/internal/limit"
	"slices"
)

// The server table: what the list says and what the last report and this instance's own traffic add.

const (
	askAgainMin = 500.0 // ms before subscribing anew after a failure, doubled each time
	askAgainMax = 8e3   // ms
)

type server struct {
	info             ServerInfo
	rank             float64 // this sidecar's order of preference: own zone first, else at random
	rif              float64 // last probed, plus own sends and minus own answers since
	latency          Ms      // service time
	reportAt, seenAt Ms      // seenAt: a probe was sent then that proves the listed process to be there
	network          Ms      // lowest probe round trip
	reported         bool    // latency is the server's own figure
	out              int
	expected         Ms      // of the latest attempt sent
	quietAt          Ms      // last answer, or the first send after all was answered
	by               []Tally // own outcomes: of all, then by tenant
	failing          float64 // part of what it answers that its last report counts as errors
	ejected          bool
	probing          bool         // a probe is under way
	shut             bool         // a probe or a connection has failed since the last answer: no first choice
	fails            int          // such failures in a row,
	tryAt            Ms           // before which it is not probed again
	cold             limit.Bucket // cold-start budget
}

func (b *Balancer) onList(e *Event) {
	b.askWait = 0
	for i := 0; e.Complete && i < len(b.servers); i++ {
		b.servers[i].info.Health = Gone
	}
	for _, in := range e.Servers {
		s := b.byID[in.ID]
		if s == nil {
			s = &server{rank: b.rng.Float64()}
			if in.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 {
				s.rank++
			}
			b.byID[in.ID] = s
			b.servers = append(b.servers, s)
		}
		if s.reportAt == 0 || in.StartedAt != s.info.StartedAt {
			// A new process: what was known of the old one no longer holds.
			*s = server{
				rank: s.rank, network: s.network, out: s.out, reportAt: never, quietAt: b.now,
				by:   make([]Tally, 1+len(b.buckets)),
				cold: limit.Bucket{Value: b.rng.Float64(), At: b.now},
			} // a random part: not all send at once
			b.pool.Remove(s)
		}
		if s.info = in; in.Uncordoned && b.cfg.Probes {
			b.ask(s) // else it would be found again by chance
		}
	}
	b.ready, b.local = 0, 0
	slices.SortStableFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.info.Health == Ready {
			b.ready++
			if s.rank < 1 {
				b.local++
			}
			return false
		}
		b.pool.Remove(s)
		if s.info.Health != Gone || s.out > 0 {
			return false
		}
		delete(b.byID, s.info.ID)
		return true
	})
}

// onListFailed subscribes anew after a jittered, growing wait: the list is one service for all.
func (b *Balancer) onListFailed() {
	b.askWait = min(max(2*b.askWait, askAgainMin), askAgainMax)
	b.timer(askTimer, b.askWait*(0.5+b.rng.Float64()))
}

// unsure: what the list does not say may count as told. Only a probe of a process known before can tell it.
func (b *Balancer) unsure() bool { return b.now >= b.sureAt }
