package policy

import "cmp"

// Expected latency. service is without waiting; fit rebuilds the paper's response time at the present RIF.

const (
	priorServiceTime = 50.0 // ms of service time assumed before any report or answer
	latencySmoothing = 0.3  // part of the way that an unreported service time moves with an answer
	startupPeriod    = 1500 // ms from the start in which the quick requests alone are answered
)

func (b *Balancer) serviceTime(s *server) Ms {
	if !b.cfg.Probes && b.latencyReported { // a request chooses among servers that have told nothing yet, too
		return cmp.Or(s.latency, b.fleetLatency, priorServiceTime)
	}
	return cmp.Or(s.latency, b.gauge.Baseline(), priorServiceTime)
}

// expectedLatency is the response time that a request sent to s with rif in flight should see.
func (b *Balancer) expectedLatency(s *server, class int, rif float64) Ms {
	return b.serviceTime(s)*b.loadModel.ClassFactor(class)*b.loadModel.Stretch(rif+1) + s.roundTrip
}

// overdueFor is for how long at least a server has owed an answer, where answers alone tell service times.
func (b *Balancer) overdueFor(s *server) Ms {
	if s.inFlight == 0 || b.latencyReported && b.cfg.Probes {
		return 0
	}
	return b.now - s.silentSince
}

// recordDuration learns from the duration of an attempt. Without reports durations are all there is.
func (b *Balancer) recordDuration(s *server, r *request, elapsed Ms, ended float64) {
	if alone := elapsed; !s.latencyReported {
		if r != nil && !b.latencyReported { // by what all take: a server's own time and waiting show as a product alone
			alone = max(0, elapsed-s.roundTrip) / b.loadModel.ClassFactor(r.class) / b.loadModel.Stretch(r.sentRIF+1)
			r.sentServiceTime = b.gauge.Baseline()
		}
		s.latency = b.serviceTime(s) + latencySmoothing*(alone-b.serviceTime(s))
	}
	if r != nil && (s.latencyReported || !b.latencyReported && r.sentServiceTime > 0) && r.sentAt-b.startedAt >= startupPeriod {
		b.loadModel.Add(r.class, r.sentRIF+1, min(10, max(0, elapsed-s.roundTrip)/r.sentServiceTime), ended)
		if !b.latencyReported {
			b.loadModel.Normalize()
		}
	}
}
