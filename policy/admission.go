package policy

import (
	"math"
	"plankrouter/policy/internal/admission"
)

// Admission. Of load beyond what servers can finish in time, the least worthy is refused first.

const (
	maxSlowFactor   = 1.5  // times the median service time, at most, that a usual request is taken to need
	peerValueFactor = 1.5  // times a request's worth: classes worth more keep their room against it
	minQuotaBurst   = 5.0  // requests of a tenant that may come at once; else a second's quota
	shareMemory     = 0.99 // weight of older samples in this sidecar's part of the fleet's traffic
)

func (b *Balancer) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantBuckets) {
		return true
	}
	bucket, quota := &b.tenantBuckets[tenant], b.cfg.Tenants[tenant].Quota*b.trafficShare()
	return bucket.Take(b.now, quota/1000, max(minQuotaBurst, quota))
}

// trafficShare is this sidecar's part of the fleet's traffic.
func (b *Balancer) trafficShare() float64 {
	return admission.Traffic{
		OwnInFlight:   b.ownInFlightSum,
		TotalInFlight: b.totalInFlightSum,
		PerSecond:     b.arrivalRate.PerMs(b.now) * 1000,
		TotalQuota:    b.totalQuota,
		Instances:     b.cfg.Instances,
	}.Share()
}

// admits: the answer is likely in time, and the crowding leaves room for a request of this worth.
func (b *Balancer) admits(s *server, r *request) bool {
	value := b.relativeValue(r.class)
	if r.overQuota {
		value *= b.cfg.OverQuotaWeight
	}
	if !b.latencyReported && !b.gauge.Admits(uint32(r.id), value) {
		return false // by what all servers have taken of late
	}
	left := min(r.objectiveAt, r.answerBy) - b.now
	if b.overdueFor(s) > left {
		return false
	}
	if s.rif < 1 && !r.overQuota {
		return true // an idle server is worth a try: only a sample can correct a wrong estimate
	}
	margin := admission.LatencyMargin(b.reportsSparse, b.cfg.WastedWorkCost, s.rif/b.loadModel.Concurrency())
	margin *= min(1, max(maxSlowFactor*b.fleetLatency, priorServiceTime)/b.serviceTime(s)) // a few costly ones raise a mean
	for i, c := range b.cfg.Classes {
		room := c.LatencyObjective
		if i == r.class {
			room = left
		} else if c.Retired || b.relativeValue(i) < peerValueFactor*value {
			continue // only where no worthier or equal request would find room is this one out of place
		}
		most := room / margin
		if !b.latencyReported { // a target that is tight for unhindered answers is no reason to leave servers idle
			most = max(most, admission.FreeMultiple*b.gauge.Baseline()*b.loadModel.ClassFactor(i))
		}
		if b.expectedLatency(s, i, s.rif) > most {
			return false
		}
	}
	return b.loadModel.Stretch(s.rif+1) <= admission.MaxStretch(b.reportsSparse, value)
}

// relativeValue is the worth of a class for the time its requests hold a server, over that of the best class.
func (b *Balancer) relativeValue(class int) float64 {
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			highest = max(highest, c.PriorityWeight/b.loadModel.ClassFactor(i))
		}
	}
	return b.cfg.Classes[class].PriorityWeight / b.loadModel.ClassFactor(class) / highest
}

// randomWithCapacity is a random server with room where the pool's pick has none: the best would draw all sidecars.
func (b *Balancer) randomWithCapacity(r *request) *server {
	old := maxPoolAge
	if b.reportsSparse {
		old = b.maxEntryAge()
	}
	return b.drawOne(func(s *server) int {
		if (b.now-s.reportedAt <= old || !b.cfg.Probes) && b.isEligible(s, r) && b.acceptsTenant(s, r) && b.admits(s, r) {
			return 1
		}
		return 0
	})
}
