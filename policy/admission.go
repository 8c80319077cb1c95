package policy

import (
	"math"
	"plankrouter/internal/limit"
)

// Admission. Of load beyond what servers can finish in time, the least worthy is refused first.

const (
	slowMost   = 1.5  // times the median service time, at most, that a usual request is taken to need
	peerWorth  = 1.5  // times a request's worth: classes worth more keep their room against it
	quotaLeast = 5.0  // requests of a tenant that may come at once; else a second's quota
	fracMemory = 0.99 // weight of older samples in this sidecar's part of the fleet's traffic
)

func (b *Balancer) inShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.buckets) {
		return true
	}
	k, quota := &b.buckets[tenant], b.cfg.Tenants[tenant].Quota*b.fraction()
	return k.Take(b.now, quota/1000, max(quotaLeast, quota))
}

// fraction is this sidecar's part of the fleet's traffic.
func (b *Balancer) fraction() float64 {
	return limit.Part(b.fracOwn, b.fracAll, b.arrivals.PerMs(b.now)*1000, b.quotas, b.cfg.Instances)
}

// admits: the answer is likely in time, and the crowding leaves room for a request of this worth.
func (b *Balancer) admits(s *server, r *request) bool {
	worth := b.density(r.class)
	if r.over {
		worth *= b.cfg.OverQuotaWeight
	}
	if !b.told && !b.gauge.Admits(uint32(r.id), worth) {
		return false // by what all servers have taken of late
	}
	left := min(r.aimAt, r.endAt) - b.now
	if b.overdue(s) > left {
		return false
	}
	if s.rif < 1 && !r.over {
		return true // an idle server is worth a try: only a sample can correct a wrong estimate
	}
	margin := limit.Room(b.sparse, b.cfg.WastedWorkCost, s.rif/b.fit.SideBySide())
	margin *= min(1, max(slowMost*b.fleetLatency, serverPrior)/b.service(s)) // a few costly ones raise a mean
	for i, c := range b.cfg.Classes {
		room := c.LatencyObjective
		if i == r.class {
			room = left
		} else if c.Retired || b.density(i) < peerWorth*worth {
			continue // only where no worthier or equal request would find room is this one out of place
		}
		most := room / margin
		if !b.told { // a target that is tight for unhindered answers is no reason to leave servers idle
			most = max(most, limit.FreeTimes*b.gauge.Unhindered()*b.fit.Of(i))
		}
		if b.expect(s, i, s.rif) > most {
			return false
		}
	}
	return b.fit.Stretch(s.rif+1) <= limit.Crowd(b.sparse, worth)
}

// density is the worth of a class for the time its requests hold a server, over that of the best class.
func (b *Balancer) density(class int) float64 {
	most := math.SmallestNonzeroFloat64
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			most = max(most, c.PriorityWeight/b.fit.Of(i))
		}
	}
	return b.cfg.Classes[class].PriorityWeight / b.fit.Of(class) / most
}

// roomy is a random server with room where the pool's pick has none: the best would draw all sidecars.
func (b *Balancer) roomy(r *request) *server {
	old := poolAge
	if b.sparse {
		old = b.entryAge()
	}
	return b.draw(func(s *server) int {
		if (b.now-s.reportAt <= old || !b.cfg.Probes) && b.allowed(s, r) && b.suits(s, r) && b.admits(s, r) {
			return 1
		}
		return 0
	})
}
