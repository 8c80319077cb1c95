package policy

import (
	"cmp"
	"slices"

	"plankrouter/internal/probing"
	"plankrouter/policy/internal/draw"
)

const (
	recentReportAge     = 3000 // ms after a report in which a random pick prefers the server
	rifCostFraction     = 0.2  // added part of the expected latency when all places are taken: breaks ties
	crossZoneCostFactor = 8.0  // latency objectives that an attempt in another zone counts as, times Config.CrossZoneCost
	failureCostFactor   = 2.0  // latency objectives that a failure counts as, times its probability
	minPoolChoices      = 2    // usable entries below which the pool alone does not decide
)

// preference orders servers for a random draw, which is among those of the highest preference that any server has.
type preference int

const (
	pickForbidden   preference = iota // by the rules
	pickEjected                       // by outlier detection: better than no server
	pickFailed                        // the last attempt failed there, or it is unreachable
	pickReportedOld                   // its last report is older than recentReportAge
	pickReported
	pickSlowStarting // in slow start while this instance still has budget for it: rare, and no other instance may be able to
)

// pickCost compares cold servers: the expected response time plus, as time, likely failures and zone crossings.
func (b *Balancer) pickCost(s *server, r *request) float64 {
	objective := b.cfg.Classes[r.class].LatencyObjective
	latency := max(b.overdueFor(s), b.expectedLatency(s, r.class, s.rif))
	cost := latency * (1 + rifCostFraction*s.rif/b.loadModel.Concurrency())
	if s.info.Zone != b.cfg.Zone {
		cost += b.cfg.CrossZoneCost * crossZoneCostFactor * objective
	}
	return cost + b.failureRateAboveMedian(s)*failureCostFactor*objective
}

// isBetter is the hot-cold rule: cold before hot, cold servers by cost, hot ones by RIF.
func (b *Balancer) isBetter(x, y *server, r *request) bool {
	xHot := x.rif > b.hotRIF
	yHot := y.rif > b.hotRIF
	if xHot != yHot {
		return yHot
	}
	if xHot {
		return x.rif < y.rif
	}
	return b.pickCost(x, r) < b.pickCost(y, r)
}

// isEligible reports whether the rules of the list, of retries and of slow start let the server have this request.
func (b *Balancer) isEligible(s *server, r *request) bool {
	return s.info.Health == Ready && b.mayRetryAt(s, r) && b.hasSlowStartBudget(s) &&
		(!b.isListStale() || b.now-s.probeSentAt < b.cfg.ProbeValidity)
}

// bestInPool is the pool's choice by the hot-cold rule among the usable entries, and how many of those there are.
func (b *Balancer) bestInPool(r *request) (best *server, usable int) {
	return b.pool.Best(
		func(s *server) bool { return s != r.failedServer && b.isEligible(s, r) && b.acceptsTenant(s, r) },
		func(x, y *server) bool { return b.isBetter(x, y, r) },
	)
}

// pick is the pool's choice, or a random server where the pool has too few usable entries. One entry is enough for a retry
// and for a request that has waited for probes.
func (b *Balancer) pick(r *request) *server {
	best, usable := b.bestInPool(r)
	if usable >= minPoolChoices || usable == 1 && (r.attempts > 0 || r.probeWaits > 0) {
		b.pool.Use(best)
		return best
	}
	found := draw.Highest(b.rng, b.servers, probing.RandomChoices(b.cfg.Probes), func(s *server) preference { return b.preferenceFor(s, r) })
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(x, y *server) int { return cmp.Compare(b.pickCost(x, r), b.pickCost(y, r)) })
}

func (b *Balancer) preferenceFor(s *server, r *request) preference {
	switch {
	case !b.isEligible(s, r):
		return pickForbidden
	case !b.acceptsTenant(s, r):
		return pickEjected
	case s == r.failedServer || b.isUnreachable(s):
		return pickFailed
	case b.slowStartFraction(s) < 1:
		return pickSlowStarting
	case b.now-s.reportedAt > recentReportAge:
		return pickReportedOld
	}
	return pickReported
}
