package policy

import (
	"cmp"
	"plankrouter/internal/probing"
	"slices"
)

// The hot-cold pick among the servers that the rules allow.

const (
	recentReportAge     = 3000 // ms after a report in which a random pick prefers the server
	rifCostFraction     = 0.2  // added part of the expected latency when all places are taken: breaks ties
	crossZoneCostFactor = 8.0  // a zone crossing of price p counts as p x this x the aim in added latency
	failureCostFactor   = 2.0  // a failure of probability p counts as p x this x the aim in added latency
)

// pickCost compares cold entries: the expected response time plus, as time, likely failures and crossings.
func (b *Balancer) pickCost(s *server, r *request) float64 {
	objective := b.cfg.Classes[r.class].LatencyObjective
	cost := max(b.overdueFor(s), b.expectedLatency(s, r.class, s.rif)) * (1 + rifCostFraction*s.rif/b.loadModel.Concurrency())
	if s.info.Zone != b.cfg.Zone {
		cost += b.cfg.CrossZoneCost * crossZoneCostFactor * objective
	}
	return cost + b.failureRateAboveMedian(s)*failureCostFactor*objective
}

// isBetter is the hot-cold rule: cold before hot, cold by latency, hot by RIF.
func (b *Balancer) isBetter(x, y *server, r *request) bool {
	xHot, yHot := x.rif > b.hotRIF, y.rif > b.hotRIF
	if xHot != yHot {
		return yHot
	}
	if xHot {
		return x.rif < y.rif
	}
	return b.pickCost(x, r) < b.pickCost(y, r)
}

// isEligible: rules 2, 3 and 4 let the server have this request.
func (b *Balancer) isEligible(s *server, r *request) bool {
	return s.info.Health == Ready && b.mayRetryAt(s, r) && b.hasSlowStartBudget(s) &&
		(!b.isListStale() || b.now-s.probeSentAt < b.cfg.ProbeValidity)
}

// bestInPool is the pool's choice by the hot-cold rule among the usable entries, and how many of those there are.
func (b *Balancer) bestInPool(r *request) (best *server, n int) {
	return b.pool.Best(func(s *server) bool { return s != r.failedServer && b.isEligible(s, r) && b.acceptsTenant(s, r) },
		func(x, y *server) bool { return b.isBetter(x, y, r) })
}

// pick is the pool's choice, or, below two usable entries (one for who has waited), a random server.
func (b *Balancer) pick(r *request) *server {
	if s, n := b.bestInPool(r); n >= 2 || n == 1 && (r.attempts > 0 || r.probeWaits > 0) {
		b.pool.Use(s)
		return s
	}
	found := b.drawUpTo(probing.RandomChoices(b.cfg.Probes), func(s *server) int {
		switch {
		case !b.isEligible(s, r):
			return 0
		case !b.acceptsTenant(s, r):
			return 1
		case s == r.failedServer || b.isUnreachable(s):
			return 2
		case b.slowStartFraction(s) < 1: // it is its turn, and the others who might take it are as seldom here
			return 5
		case b.now-s.reportedAt > recentReportAge:
			return 3
		}
		return 4
	})
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(x, y *server) int { return cmp.Compare(b.pickCost(x, r), b.pickCost(y, r)) })
}

// drawOne returns a random one of the servers of the highest rank above 0.
func (b *Balancer) drawOne(rank func(*server) int) *server {
	if found := b.drawUpTo(1, rank); len(found) > 0 {
		return found[0]
	}
	return nil
}

// drawUpTo returns random ones of them, at most so many.
func (b *Balancer) drawUpTo(count int, rank func(*server) int) (found []*server) {
	highest, seen := 1, 0
	for _, s := range b.servers {
		current := rank(s)
		if current > highest {
			highest, seen, found = current, 0, found[:0]
		}
		if current < highest {
			continue
		}
		seen++ // of so many, each is kept with the same chance
		if at := b.rng.IntN(seen); len(found) < count {
			found = append(found, s)
		} else if at < count {
			found[at] = s
		}
	}
	return found
}
