package policy

import (
	"cmp"
	"slices"

	"plankrouter/internal/probing"
	"plankrouter/policy/internal/draw"
)

const (
	recentReportAge     = 3000 // ms after a server's last report in which a random pick prefers the server
	rifCostFraction     = 0.2  // fraction of the expected latency added to the cost at full concurrency: breaks ties
	crossZoneCostFactor = 8.0  // cost of an attempt in another zone, in latency objectives per unit of Config.CrossZoneCost
	failureCostFactor   = 2.0  // cost of a certain failure, in latency objectives
	minPoolChoices      = 2    // usable pool entries needed to pick from the pool alone
)

// preference ranks servers for a random pick, which chooses among those with the highest preference found.
type preference int

const (
	pickForbidden   preference = iota // not eligible
	pickEjected                       // ejected by outlier detection; still better than no server
	pickFailed                        // the last attempt failed there, or it is unreachable
	pickReportedOld                   // its last report is older than recentReportAge
	pickReported
	pickSlowStarting // in slow start, and this instance has budget for it, which is rare: other instances may have none
)

// pickCost returns the cost by which cold servers are compared: the expected response time in ms, plus the costs of a likely
// failure and of crossing zones, converted to ms.
func (b *Balancer) pickCost(s *server, r *request) float64 {
	objective := b.cfg.Classes[r.class].LatencyObjective
	latency := max(b.pendingFor(s), b.expectedLatency(s, r.class, s.rif))
	cost := latency * (1 + rifCostFraction*s.rif/b.loadModel.Concurrency())
	if s.info.Zone != b.cfg.Zone {
		cost += b.cfg.CrossZoneCost * crossZoneCostFactor * objective
	}
	return cost + b.failureRateAboveMedian(s)*failureCostFactor*objective
}

// isBetter reports whether x is better than y by the hot-cold rule: cold servers come before hot ones, cold servers are
// compared by cost and hot ones by RIF.
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

// isEligible reports whether the server list, the retry rules and slow start allow sending this request to the server.
func (b *Balancer) isEligible(s *server, r *request) bool {
	return s.info.Health == Ready && b.mayRetryAt(s, r) && b.hasSlowStartBudget(s) &&
		(!b.isListStale() || b.now-s.probeSentAt < b.cfg.ProbeValidity)
}

// bestInPool returns the best server among the usable pool entries by the hot-cold rule, and the number of usable entries.
func (b *Balancer) bestInPool(r *request) (best *server, usable int) {
	return b.pool.Best(
		func(s *server) bool { return s != r.failedServer && b.isEligible(s, r) && b.acceptsTenant(s, r) },
		func(x, y *server) bool { return b.isBetter(x, y, r) },
	)
}

// pick returns the best server in the pool, or a random server if the pool has too few usable entries; nil if no server is
// eligible. One entry is enough for a retry and for a request that has waited for probes.
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
