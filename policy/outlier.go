package policy

import (
	"plankrouter/internal/backoff"
	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/stats"
)

// Outlier detection goes by own outcomes and missing answers, whatever the reports and the list say of a server.
const (
	failedProbeWeight = 0.5  // of a failed probe, in failures
	ejectionThreshold = 0.5  // failure rate above the fleet's median from which a server is ejected
	silentMultiple    = 6.0  // expected answers that are missing before a server counts as silent, over all its attempts
	minSilentMultiple = 2    // the same for one of them, however many there are
	minAnswerFraction = 0.25 // of the tightest latency objective: no shorter answer is expected
)

// allTenants is the place of the outcomes of all requests among a server's, and the tenant of a request that has none.
const allTenants = 0

// probeBackoff is when a server whose probe or connection failed is probed again, in ms: so a server that is down costs
// next to nothing, and one that is back is found within the bound.
var probeBackoff = backoff.Policy{First: 50, Most: 1000, Factor: 2, Jitter: 0.5}

func (b *Balancer) recordSuccess(s *server, tenant int) {
	s.outcomesByTenant[allTenants].AddSuccess(b.now)
	if tenant != allTenants {
		s.outcomesByTenant[tenant].AddSuccess(b.now)
	}
}

func (b *Balancer) recordFailure(s *server, tenant int, weight float64) {
	s.outcomesByTenant[allTenants].AddFailure(b.now, weight)
	if tenant != allTenants {
		s.outcomesByTenant[tenant].AddFailure(b.now, weight)
	}
}

// markUnreachable notes that a probe or a connection has failed. Those that were under way together count as one.
func (b *Balancer) markUnreachable(s *server) {
	s.unreachable = true
	if b.now >= s.nextProbeAt {
		s.consecutiveFailures++
		s.nextProbeAt = b.now + probeBackoff.Wait(s.consecutiveFailures, b.rng.Float64())
	}
}

// isUnreachable reports whether the server is no first choice because it could not be reached. Without probes that
// ends with the wait, since only a request can find it back then.
func (b *Balancer) isUnreachable(s *server) bool {
	return s.unreachable && (b.cfg.Probes || b.now < s.nextProbeAt)
}

// isSilent reports whether the server has owed answers for far longer than expected.
func (b *Balancer) isSilent(s *server) bool {
	answer := max(s.expectedLatency, minAnswerFraction*b.minObjective)
	return s.inFlight > 0 && b.now-s.silentSince > answer*max(minSilentMultiple, silentMultiple/float64(s.inFlight))
}

// failureRate is the probability that the server fails a request, by own outcomes or by its own report.
func (b *Balancer) failureRate(s *server) float64 {
	if b.isSilent(s) {
		return 1
	}
	return max(s.outcomesByTenant[allTenants].FailureRate(b.now), s.reportedErrorRate*outlier.Decay(b.now-s.reportedAt))
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
	return !b.isEjected(s) && s.outcomesByTenant[r.tenant].FailureRate(b.now) < b.medianFailureRate+ejectionThreshold
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
