package policy

import "cmp"

const (
	priorServiceTime = 50.0 // ms; service time assumed before any report or response
	latencySmoothing = 0.3  // weight of a new response in the moving average of a service time that is not reported
	startupPeriod    = 1500 // ms after an instance's start in which samples are ignored: the first are those of quick requests
	maxSampleRatio   = 10   // upper bound of a sample's ratio of response time to service time
)

// serviceTime returns the expected processing time of a request at the server, without queueing. Without probes a request may
// also be sent to servers that have not reported yet, for which the median of the others is assumed.
func (b *Balancer) serviceTime(s *server) Ms {
	if !b.cfg.Probes && b.latencyReported {
		return cmp.Or(s.latency, b.fleetLatency, priorServiceTime)
	}
	return cmp.Or(s.latency, b.gauge.Baseline(), priorServiceTime)
}

// expectedLatency returns the expected response time of a request of the class at s while rif other requests are in flight
// there.
func (b *Balancer) expectedLatency(s *server, class int, rif float64) Ms {
	return b.serviceTime(s)*b.loadModel.ClassFactor(class)*b.loadModel.Stretch(rif+1) + s.roundTrip
}

// pendingFor returns the time since the server's last response while it has attempts in flight. It is 0 if service times are
// known from load reports in probe responses.
func (b *Balancer) pendingFor(s *server) Ms {
	if s.inFlight == 0 || b.latencyReported && b.cfg.Probes {
		return 0
	}
	return b.now - s.noResponseSince
}

// recordDuration adds the duration of an attempt, which has succeeded or timed out, to the estimates of service time and load.
func (b *Balancer) recordDuration(s *server, r *request, elapsed Ms, succeeded bool) {
	if !s.latencyReported {
		b.learnServiceTime(s, r, elapsed)
	}
	serviceTimeKnown := s.latencyReported || !b.latencyReported && r != nil && r.sentServiceTime > 0
	if r == nil || !serviceTimeKnown || r.sentAt-b.startedAt < startupPeriod {
		return
	}
	ratio := min(maxSampleRatio, max(0, elapsed-s.roundTrip)/r.sentServiceTime)
	b.loadModel.Add(r.class, r.sentRIF+1, ratio, succeeded)
	if !b.latencyReported {
		b.loadModel.Normalize()
	}
}

// learnServiceTime updates the estimated service time of a server that does not report it. If no server reports it, the
// queueing expected by the load model is divided out first, and r.sentServiceTime is set to the baseline of all servers: a
// server's service time and its queueing can be observed only as a product.
func (b *Balancer) learnServiceTime(s *server, r *request, elapsed Ms) {
	serviceTime := elapsed
	if r != nil && !b.latencyReported {
		serviceTime = max(0, elapsed-s.roundTrip) / b.loadModel.ClassFactor(r.class) / b.loadModel.Stretch(r.sentRIF+1)
		r.sentServiceTime = b.gauge.Baseline()
	}
	s.latency = b.serviceTime(s) + latencySmoothing*(serviceTime-b.serviceTime(s))
}
