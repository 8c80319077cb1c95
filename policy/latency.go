package policy

import "cmp"

const (
	priorServiceTime = 50.0 // ms of service time assumed before any report or answer
	latencySmoothing = 0.3  // part of the way that an unreported service time moves with an answer
	startupPeriod    = 1500 // ms from the start in which only quick requests have been answered, so that samples mislead
	maxSampleRatio   = 10   // of a response to the service time: longer ones count as this
)

// serviceTime is the expected time of a request at the server, without waiting. Without probes a request chooses among
// servers that have not reported yet, too, and the fleet's median stands for those.
func (b *Balancer) serviceTime(s *server) Ms {
	if !b.cfg.Probes && b.latencyReported {
		return cmp.Or(s.latency, b.fleetLatency, priorServiceTime)
	}
	return cmp.Or(s.latency, b.gauge.Baseline(), priorServiceTime)
}

// expectedLatency is the response time that a request sent to s with rif in flight should see.
func (b *Balancer) expectedLatency(s *server, class int, rif float64) Ms {
	return b.serviceTime(s)*b.loadModel.ClassFactor(class)*b.loadModel.Stretch(rif+1) + s.roundTrip
}

// overdueFor is for how long at least a server has owed an answer, where only answers show service times.
func (b *Balancer) overdueFor(s *server) Ms {
	if s.inFlight == 0 || b.latencyReported && b.cfg.Probes {
		return 0
	}
	return b.now - s.silentSince
}

// recordDuration learns from the duration of an attempt, which was answered or given up.
func (b *Balancer) recordDuration(s *server, r *request, elapsed Ms, answered bool) {
	if !s.latencyReported {
		b.learnServiceTime(s, r, elapsed)
	}
	serviceTimeKnown := s.latencyReported || !b.latencyReported && r != nil && r.sentServiceTime > 0
	if r == nil || !serviceTimeKnown || r.sentAt-b.startedAt < startupPeriod {
		return
	}
	ratio := min(maxSampleRatio, max(0, elapsed-s.roundTrip)/r.sentServiceTime)
	b.loadModel.Add(r.class, r.sentRIF+1, ratio, answered)
	if !b.latencyReported {
		b.loadModel.Normalize()
	}
}

// learnServiceTime estimates the service time of a server that does not report it. Where no server does, the estimate leaves
// out the waiting that the load model expects, and the request is compared with the fleet's baseline: a server's own
// service time and its waiting show as a product only.
func (b *Balancer) learnServiceTime(s *server, r *request, elapsed Ms) {
	serviceTime := elapsed
	if r != nil && !b.latencyReported {
		serviceTime = max(0, elapsed-s.roundTrip) / b.loadModel.ClassFactor(r.class) / b.loadModel.Stretch(r.sentRIF+1)
		r.sentServiceTime = b.gauge.Baseline()
	}
	s.latency = b.serviceTime(s) + latencySmoothing*(serviceTime-b.serviceTime(s))
}
