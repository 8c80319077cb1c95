package policy

import (
	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
)

// Outlier detection ejects servers by the outcomes of this instance's own requests, by missing responses and by reported error
// rates. A load report or a list entry that shows a good server does not prevent an ejection.
const (
	failedProbeWeight   = 0.5  // weight of a failed probe, in failed requests
	ejectionThreshold   = 0.5  // failure rate above the fleet's median from which a server is ejected
	minResponseFraction = 0.25 // lower bound of the expected response time, as a fraction of the tightest latency objective
)

// isUnreachable reports whether the last connection to the server, or probe of it, has failed, so that other servers are
// preferred. Without probes the server counts as unreachable only until the backoff has ended, since only a request can show
// that it is back.
func (b *Balancer) isUnreachable(s *server) bool {
	return s.reachability.Unreachable && (b.cfg.Probes || !s.reachability.MayProbe(b.now))
}

// isUnresponsive reports whether the server has attempts in flight and has sent no response for far longer than expected.
func (b *Balancer) isUnresponsive(s *server) bool {
	expected := max(s.expectedLatency, minResponseFraction*b.minObjective)
	return outlier.IsUnresponsive(s.inFlight, b.now-s.noResponseSince, expected)
}

// failureRate returns the probability that the server fails a request: the higher of the rates by own outcomes and by its
// last load report, or 1 if it is unresponsive.
func (b *Balancer) failureRate(s *server) float64 {
	if b.isUnresponsive(s) {
		return 1
	}
	return max(s.outcomesByTenant.FailureRate(b.now, outlier.AllTenants), s.reportedErrorRate*outlier.Decay(b.now-s.reportedAt))
}

// failureRateAboveMedian returns by how much the server's failure rate exceeds the fleet's median, so that a fault common to
// most servers ejects none.
func (b *Balancer) failureRateAboveMedian(s *server) float64 {
	return max(0, b.failureRate(s)-b.medianFailureRate)
}

// isEjected reports whether outlier detection keeps requests from the server. A server without own attempts in flight is
// retried as soon as its own failure rate has decayed below the threshold.
func (b *Balancer) isEjected(s *server) bool {
	return b.failureRateAboveMedian(s) >= ejectionThreshold && (s.inFlight > 0 || b.failureRate(s) >= ejectionThreshold)
}

// acceptsTenant reports whether the server is ejected neither for all requests nor for those of r's tenant.
func (b *Balancer) acceptsTenant(s *server, r *request) bool {
	return !b.isEjected(s) && s.outcomesByTenant.FailureRate(b.now, r.tenant) < b.medianFailureRate+ejectionThreshold
}

func (b *Balancer) updateMedians() {
	var failureRates, latencies []float64
	for _, s := range b.servers {
		if s.info.Health != Ready {
			continue
		}
		failureRates = append(failureRates, b.failureRate(s))
		if s.latency > 0 && b.now-s.reportedAt <= maxPoolAge {
			latencies = append(latencies, s.latency)
		}
	}
	b.medianFailureRate = stats.Quantile(0.5, failureRates, 0)
	b.fleetLatency = stats.Quantile(0.5, latencies, b.fleetLatency)
}

// updateEjections records and logs which servers have been ejected and which are no longer ejected.
func (b *Balancer) updateEjections() {
	for _, s := range b.servers {
		ejected := b.failureRateAboveMedian(s) >= ejectionThreshold
		if ejected != s.ejected {
			s.ejected = ejected
			b.logf("server=%d ejected=%t silent=%t failure_rate=%.2f", s.info.ID, ejected, b.isUnresponsive(s), b.failureRate(s))
		}
	}
}

// IsExcluded reports whether a server listed as ready gets no requests because it is ejected or unreachable.
func (b *Balancer) IsExcluded(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.info.Health == Ready && (s.ejected || b.isUnreachable(s))
}
