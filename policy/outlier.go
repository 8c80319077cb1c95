package policy

import (
	"plankrouter/internal/backoff"
	"plankrouter/internal/limit"
	"plankrouter/policy/internal/outlier"
	"slices"
)

// Outlier detection: own outcomes and missing answers, whatever the reports and the list say of a server.

const (
	probeWeight = 0.5  // of a failed probe, in failures
	ejectAt     = 0.5  // probability of failure, beyond the fleet's median, that takes a server out
	silentTimes = 6.0  // expected answers of a server that are missing before it counts as silent
	silentPart  = 0.25 // of the tightest aim: no shorter answer is expected there
)

// retryProbe is when a server whose probe or connection failed is asked again, in ms. What is down costs
// nothing then, and what is back is found within the bound.
var retryProbe = backoff.Policy{First: 50, Most: 1000, Factor: 2, Jitter: 0.5}

// learn adds a failure of that weight, or a success if it is 0, to the evidence at all and to the tenant's.
func (b *Balancer) learn(s *server, who int, weight float64) {
	for _, i := range slices.Compact([]int{0, who}) {
		s.by[i].Add(b.now, weight)
	}
}

// shutOut notes that the server was not there for a probe or a connection.
func (b *Balancer) shutOut(s *server) {
	if s.shut = true; b.now >= s.tryAt { // else it is one of many that were under way together
		s.fails++
		s.tryAt = b.now + retryProbe.Wait(s.fails, b.rng.Float64())
	}
}

// isShut: without probes a server is left alone for the wait only, and then a request is its trial.
func (b *Balancer) isShut(s *server) bool { return s.shut && (b.cfg.Probes || b.now < s.tryAt) }

// silent: work is in hand and no answer came for far longer than expected.
func (b *Balancer) silent(s *server) bool {
	answer := max(s.expected, silentPart*b.minAim)
	return s.out > 0 && b.now-s.quietAt > answer*max(2, silentTimes/float64(s.out))
}

// miss is the probability that the server fails a request, on own evidence or by its own report.
func (b *Balancer) miss(s *server) float64 {
	if b.silent(s) {
		return 1
	}
	return max(s.by[0].FailureRate(b.now), s.failing*outlier.Decay(b.now-s.reportAt))
}

// excess is how much likelier than the median a server fails: trouble that most share excludes none.
func (b *Balancer) excess(s *server) float64 { return max(0, b.miss(s)-b.medianMiss) }

func (b *Balancer) updateMedians() {
	var misses, latencies []float64
	for _, s := range b.servers {
		if s.info.Health == Ready {
			misses = append(misses, b.miss(s))
			if s.latency > 0 && b.now-s.reportAt <= poolAge {
				latencies = append(latencies, s.latency)
			}
		}
	}
	b.medianMiss = limit.Quantile(0.5, misses, 0)
	b.fleetLatency = limit.Quantile(0.5, latencies, b.fleetLatency)
}

// suits: not even for its tenant alone does the evidence exclude the server.
func (b *Balancer) suits(s *server, r *request) bool {
	return b.trusted(s) && s.by[r.who].FailureRate(b.now) < b.medianMiss+ejectAt
}

// trusted: the evidence does not exclude the server. One that is idle gets a trial once that has faded.
func (b *Balancer) trusted(s *server) bool {
	return b.excess(s) < ejectAt || s.out == 0 && b.miss(s) < ejectAt
}

// IsExcluded reports whether a server listed as ready is kept from picks by evidence, connections or probes.
func (b *Balancer) IsExcluded(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.info.Health == Ready && (s.ejected || b.isShut(s))
}
