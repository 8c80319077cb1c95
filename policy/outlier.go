package policy

import (
	"plankrouter/internal/backoff"
	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
	"slices"
)

// Outlier detection: own outcomes and missing answers, whatever the reports and the list say of a server.

const (
	failedProbeWeight = 0.5  // of a failed probe, in failures
	ejectionThreshold = 0.5  // probability of failure, beyond the fleet's median, that takes a server out
	silentMultiple    = 6.0  // expected answers of a server that are missing before it counts as silent
	minAnswerFraction = 0.25 // of the tightest aim: no shorter answer is expected there
)

// probeBackoff is when a server whose probe or connection failed is asked again, in ms. What is down costs
// nothing then, and what is back is found within the bound.
var probeBackoff = backoff.Policy{First: 50, Most: 1000, Factor: 2, Jitter: 0.5}

// recordOutcome adds a failure of that weight, or a success if it is 0, to the evidence at all and to the tenant's.
func (b *Balancer) recordOutcome(s *server, tenant int, weight float64) {
	for _, i := range slices.Compact([]int{0, tenant}) {
		s.outcomesByTenant[i].Add(b.now, weight)
	}
}

// markUnreachable notes that the server was not there for a probe or a connection.
func (b *Balancer) markUnreachable(s *server) {
	if s.unreachable = true; b.now >= s.nextProbeAt { // else it is one of many that were under way together
		s.consecutiveFailures++
		s.nextProbeAt = b.now + probeBackoff.Wait(s.consecutiveFailures, b.rng.Float64())
	}
}

// isUnreachable: without probes a server is left alone for the wait only, and then a request is its trial.
func (b *Balancer) isUnreachable(s *server) bool {
	return s.unreachable && (b.cfg.Probes || b.now < s.nextProbeAt)
}

// isSilent: work is in hand and no answer came for far longer than expected.
func (b *Balancer) isSilent(s *server) bool {
	answer := max(s.expectedLatency, minAnswerFraction*b.minObjective)
	return s.inFlight > 0 && b.now-s.silentSince > answer*max(2, silentMultiple/float64(s.inFlight))
}

// failureRate is the probability that the server fails a request, on own evidence or by its own report.
func (b *Balancer) failureRate(s *server) float64 {
	if b.isSilent(s) {
		return 1
	}
	return max(s.outcomesByTenant[0].FailureRate(b.now), s.reportedErrorRate*outlier.Decay(b.now-s.reportedAt))
}

// failureRateAboveMedian is how much likelier than the median a server fails: trouble that most share excludes none.
func (b *Balancer) failureRateAboveMedian(s *server) float64 {
	return max(0, b.failureRate(s)-b.medianFailureRate)
}

func (b *Balancer) updateMedians() {
	var failureRates, latencies []float64
	for _, s := range b.servers {
		if s.info.Health == Ready {
			failureRates = append(failureRates, b.failureRate(s))
			if s.latency > 0 && b.now-s.reportedAt <= maxPoolAge {
				latencies = append(latencies, s.latency)
			}
		}
	}
	b.medianFailureRate = stats.Quantile(0.5, failureRates, 0)
	b.fleetLatency = stats.Quantile(0.5, latencies, b.fleetLatency)
}

// acceptsTenant: not even for its tenant alone does the evidence exclude the server.
func (b *Balancer) acceptsTenant(s *server, r *request) bool {
	return b.trusted(s) && s.outcomesByTenant[r.tenant].FailureRate(b.now) < b.medianFailureRate+ejectionThreshold
}

// trusted: the evidence does not exclude the server. One that is idle gets a trial once that has faded.
func (b *Balancer) trusted(s *server) bool {
	return b.failureRateAboveMedian(s) < ejectionThreshold || s.inFlight == 0 && b.failureRate(s) < ejectionThreshold
}

// IsExcluded reports whether a server listed as ready is kept from picks by evidence, connections or probes.
func (b *Balancer) IsExcluded(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.info.Health == Ready && (s.ejected || b.isUnreachable(s))
}
