package policy

import (
	"cmp"
	"plankrouter/internal/limit"
	"slices"
)

// The hot-cold pick among the servers that the rules allow.

const (
	knownFor    = 3000 // ms after a report in which a random pick prefers the server
	rifLean     = 0.2  // added part of the expected latency when all places are taken: breaks ties
	crossPerAim = 8.0  // a zone crossing of price p counts as p x this x the aim in added latency
	missPerAim  = 2.0  // a failure of probability p counts as p x this x the aim in added latency
)

// cost compares cold entries: the expected response time plus, as time, likely failures and crossings.
func (b *Balancer) cost(s *server, r *request) float64 {
	aim := b.cfg.Classes[r.class].LatencyObjective
	t := max(b.overdue(s), b.expect(s, r.class, s.rif)) * (1 + rifLean*s.rif/b.fit.SideBySide())
	if s.info.Zone != b.cfg.Zone {
		t += b.cfg.CrossZoneCost * crossPerAim * aim
	}
	return t + b.excess(s)*missPerAim*aim
}

// better is the hot-cold rule: cold before hot, cold by latency, hot by RIF.
func (b *Balancer) better(x, y *server, r *request) bool {
	hx, hy := x.rif > b.hotRIF, y.rif > b.hotRIF
	if hx != hy {
		return hy
	}
	if hx {
		return x.rif < y.rif
	}
	return b.cost(x, r) < b.cost(y, r)
}

// allowed: rules 2, 3 and 4 let the server have this request.
func (b *Balancer) allowed(s *server, r *request) bool {
	return s.info.Health == Ready && b.mayRepeatAt(s, r) && b.warmEnough(s) &&
		(!b.unsure() || b.now-s.seenAt < b.cfg.ProbeValidity)
}

// best is the pool's choice by the hot-cold rule among the usable entries, and how many of those there are.
func (b *Balancer) best(r *request) (best *server, n int) {
	return b.pool.Best(func(s *server) bool { return s != r.avoid && b.allowed(s, r) && b.suits(s, r) },
		func(x, y *server) bool { return b.better(x, y, r) })
}

// pick is the pool's choice, or, below two usable entries (one for who has waited), a random server.
func (b *Balancer) pick(r *request) *server {
	if s, n := b.best(r); n >= 2 || n == 1 && (r.attempts > 0 || r.waits > 0) {
		b.pool.Use(s)
		return s
	}
	found := b.drawSome(limit.Choices(b.cfg.Probes), func(s *server) int {
		switch {
		case !b.allowed(s, r):
			return 0
		case !b.suits(s, r):
			return 1
		case s == r.avoid || b.isShut(s):
			return 2
		case b.warmth(s) < 1: // it is its turn, and the others who might take it are as seldom here
			return 5
		case b.now-s.reportAt > knownFor:
			return 3
		}
		return 4
	})
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(x, y *server) int { return cmp.Compare(b.cost(x, r), b.cost(y, r)) })
}

// draw returns a random one of the servers of the highest rank above 0.
func (b *Balancer) draw(rank func(*server) int) *server {
	if found := b.drawSome(1, rank); len(found) > 0 {
		return found[0]
	}
	return nil
}

// drawSome returns random ones of them, at most so many.
func (b *Balancer) drawSome(most int, rank func(*server) int) (found []*server) {
	best, seen := 1, 0
	for _, s := range b.servers {
		k := rank(s)
		if k > best {
			best, seen, found = k, 0, found[:0]
		}
		if k < best {
			continue
		}
		seen++ // of so many, each is kept with the same chance
		if at := b.rng.IntN(seen); len(found) < most {
			found = append(found, s)
		} else if at < most {
			found[at] = s
		}
	}
	return found
}
