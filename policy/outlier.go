package policy

import (
	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
)

// Outlier detection goes by own outcomes and missing answers, whatever the reports and the list say of a server.
const (
	failedProbeWeight = 0.5  // of a failed probe, in failures
	ejectionThreshold = 0.5  // failure rate above the fleet's median from which a server is ejected
	minAnswerFraction = 0.25 // of the tightest latency objective: no shorter answer is expected
)

// isUnreachable reports whether the server is no first choice because it could not be reached. Without probes that
// ends with the wait, since only a request can find it back then.
func (b *Balancer) isUnreachable(s *server) bool {
	return s.reachability.Unreachable && (b.cfg.Probes || !s.reachability.MayProbe(b.now))
}

// isSilent reports whether the server has owed answers for far longer than expected.
func (b *Balancer) isSilent(s *server) bool {
	answer := max(s.expectedLatency, minAnswerFraction*b.minObjective)
	return outlier.IsSilent(s.inFlight, b.now-s.silentSince, answer)
}

// failureRate is the probability that the server fails a request, by own outcomes or by its own report.
func (b *Balancer) failureRate(s *server) float64 {
	if b.isSilent(s) {
		return 1
	}
	return max(s.outcomesByTenant.FailureRate(b.now, outlier.AllTenants), s.reportedErrorRate*outlier.Decay(b.now-s.reportedAt))
}

// failureRateAboveMedian is how much likelier a server fails than the median one: trouble that most servers share
// ejects none.
func (b *Balancer) failureRateAboveMedian(s *server) float64 {
	return max(0, b.failureRate(s)-b.medianFailureRate)
}

// isEjected reports whether outlier detection keeps requests from the server. An idle one gets a trial as soon as its
// own failure rate has faded.
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

// updateEjections logs which servers are ejected and which are not any more.
func (b *Balancer) updateEjections() {
	for _, s := range b.servers {
		ejected := b.failureRateAboveMedian(s) >= ejectionThreshold
		if ejected != s.ejected {
			s.ejected = ejected
			b.logf("server=%d ejected=%t silent=%t failure_rate=%.2f", s.info.ID, ejected, b.isSilent(s), b.failureRate(s))
		}
	}
}

// IsExcluded reports whether a server listed as ready gets no requests because it is ejected or unreachable.
func (b *Balancer) IsExcluded(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.info.Health == Ready && (s.ejected || b.isUnreachable(s))
}
