package policy

import (
	"math"

	"plankrouter/policy/internal/admission"
	"plankrouter/policy/internal/draw"
)

// Admission control rejects the load that servers can't finish in time, requests of the lowest value first.

const (
	maxSlowFactor   = 1.5 // service times count up to this many fleet medians: a few costly requests raise a server's mean
	peerValueFactor = 1.5 // a request must leave capacity for classes of at least this many times its value
	minQuotaBurst   = 5.0 // requests; lower bound of a tenant's burst, which otherwise is its quota for one second
	minIdleRIF      = 1   // RIF below which a server is idle
)

// withinQuota takes a token for a request of the tenant and reports whether there was one. Requests without a known tenant
// have no quota.
func (b *Balancer) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantBuckets) {
		return true
	}
	quota := b.cfg.Tenants[tenant].Quota * b.trafficShare()
	return b.tenantBuckets[tenant].Take(b.now, quota/1000, max(minQuotaBurst, quota))
}

// trafficShare returns this instance's fraction of the traffic of all instances.
func (b *Balancer) trafficShare() float64 { return b.traffic.Share(b.arrivalRate.PerMs(b.now) * 1000) }

// admits reports whether a timely response is likely and the server has capacity for a request of r's value. An idle server
// admits a request within its tenant's quota even if the estimated latency is too long: only a new sample can correct the
// estimate.
func (b *Balancer) admits(s *server, r *request) bool {
	value := b.relativeValue(r.class)
	if r.overQuota {
		value *= b.cfg.OverQuotaWeight
	}
	if !b.latencyReported && !b.gauge.Admits(uint32(r.id), value) {
		return false
	}
	timeLeft := min(r.objectiveAt, r.respondBy) - b.now
	if b.pendingFor(s) > timeLeft {
		return false
	}
	if s.rif < minIdleRIF && !r.overQuota {
		return true
	}
	return b.meetsObjectives(s, r, value, timeLeft) &&
		b.loadModel.Stretch(s.rif+1) <= admission.MaxStretch(b.reportsSparse, value)
}

// meetsObjectives reports whether the server is expected to meet the latency objectives of this request and of all classes of
// at least peerValueFactor times its value. If it is not, the request would take capacity from those classes.
func (b *Balancer) meetsObjectives(s *server, r *request, value float64, timeLeft Ms) bool {
	margin := admission.LatencyMargin(b.reportsSparse, b.cfg.WastedWorkCost, s.rif/b.loadModel.Concurrency())
	margin *= min(1, max(maxSlowFactor*b.fleetLatency, priorServiceTime)/b.serviceTime(s))
	for class, c := range b.cfg.Classes {
		objective := c.LatencyObjective
		if class == r.class {
			objective = timeLeft
		} else if c.Retired || b.relativeValue(class) < peerValueFactor*value {
			continue
		}
		maxLatency := objective / margin
		if !b.latencyReported { // an objective that even servers with free capacity barely meet must not keep them idle
			maxLatency = max(maxLatency, admission.FreeMultiple*b.gauge.Baseline()*b.loadModel.ClassFactor(class))
		}
		if b.expectedLatency(s, class, s.rif) > maxLatency {
			return false
		}
	}
	return true
}

// relativeValue returns the class's value per unit of processing time, as a fraction of that of the best class.
func (b *Balancer) relativeValue(class int) float64 {
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			highest = max(highest, c.PriorityWeight/b.loadModel.ClassFactor(i))
		}
	}
	return b.cfg.Classes[class].PriorityWeight / b.loadModel.ClassFactor(class) / highest
}

// randomWithCapacity returns a random server that admits the request, or nil. It is used if the picked server does not admit
// it. The server is random because all instances together would overload the best one.
func (b *Balancer) randomWithCapacity(r *request) *server {
	maxAge := maxPoolAge
	if b.reportsSparse {
		maxAge = b.maxEntryAge()
	}
	return draw.One(b.rng, b.servers, func(s *server) bool {
		isKnown := b.now-s.reportedAt <= maxAge || !b.cfg.Probes
		return isKnown && b.isEligible(s, r) && b.acceptsTenant(s, r) && b.admits(s, r)
	})
}

// updateGauge updates overload control from recent response times. They are compared with the latency objective that is the
// tightest relative to the usual duration of its class.
func (b *Balancer) updateGauge() {
	tightest := math.Inf(1)
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			tightest = min(tightest, c.LatencyObjective/b.loadModel.ClassFactor(i))
		}
	}
	b.gauge.Update(b.now, tightest)
}
