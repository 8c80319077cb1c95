package policy

import (
	"math"

	"plankrouter/policy/internal/admission"
	"plankrouter/policy/internal/draw"
)

// Of load beyond what servers can finish in time, requests of the least value are refused first.

const (
	maxSlowFactor   = 1.5 // times the median service time that a usual request is taken to need at most: a few costly ones raise a mean
	peerValueFactor = 1.5 // times a request's value, from which a class keeps its capacity against it
	minQuotaBurst   = 5.0 // requests of a tenant that may come at once; else a second's quota
	minIdleRIF      = 1   // requests in flight below which a server is idle
)

func (b *Balancer) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantBuckets) {
		return true
	}
	quota := b.cfg.Tenants[tenant].Quota * b.trafficShare()
	return b.tenantBuckets[tenant].Take(b.now, quota/1000, max(minQuotaBurst, quota))
}

// trafficShare is this instance's part of the fleet's traffic.
func (b *Balancer) trafficShare() float64 { return b.traffic.Share(b.arrivalRate.PerMs(b.now) * 1000) }

// admits reports whether the answer is likely in time and the server has capacity for a request of this value. An idle
// server gets a request that may fail: only a sample can correct a wrong estimate.
func (b *Balancer) admits(s *server, r *request) bool {
	value := b.relativeValue(r.class)
	if r.overQuota {
		value *= b.cfg.OverQuotaWeight
	}
	if !b.latencyReported && !b.gauge.Admits(uint32(r.id), value) {
		return false
	}
	timeLeft := min(r.objectiveAt, r.answerBy) - b.now
	if b.overdueFor(s) > timeLeft {
		return false
	}
	if s.rif < minIdleRIF && !r.overQuota {
		return true
	}
	return b.meetsObjectives(s, r, value, timeLeft) &&
		b.loadModel.Stretch(s.rif+1) <= admission.MaxStretch(b.reportsSparse, value)
}

// meetsObjectives reports whether the server would answer in time not only this request but also one of each class that is
// worth more: else it would take the place of one of those.
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
		if !b.latencyReported { // an objective that is tight for free servers is no reason to leave them idle
			maxLatency = max(maxLatency, admission.FreeMultiple*b.gauge.Baseline()*b.loadModel.ClassFactor(class))
		}
		if b.expectedLatency(s, class, s.rif) > maxLatency {
			return false
		}
	}
	return true
}

// relativeValue is the value of a class for the time that its requests take, over that of the best class.
func (b *Balancer) relativeValue(class int) float64 {
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			highest = max(highest, c.PriorityWeight/b.loadModel.ClassFactor(i))
		}
	}
	return b.cfg.Classes[class].PriorityWeight / b.loadModel.ClassFactor(class) / highest
}

// randomWithCapacity is a random server that admits the request, for where the picked one does not. A random one, since all
// instances would overload the best.
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

// updateGauge lets overload control look at the answers of late, against the objective that leaves the least time for a
// usual request.
func (b *Balancer) updateGauge() {
	tightest := math.Inf(1)
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			tightest = min(tightest, c.LatencyObjective/b.loadModel.ClassFactor(i))
		}
	}
	b.gauge.Update(b.now, tightest)
}
