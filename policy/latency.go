package policy

import (
	"cmp"
	"plankrouter/internal/limit"
)

// Expected latency. service is without waiting; fit rebuilds the paper's response time at the present RIF.

const (
	serverPrior  = 50.0 // ms of service time assumed before any report or answer
	latencyStep  = 0.3  // part of the way that an unreported service time moves with an answer
	firstAnswers = 1500 // ms from the start in which the quick requests alone are answered
)

func (b *Balancer) service(s *server) Ms {
	if !b.cfg.Probes && b.told { // a request chooses among servers that have told nothing yet, too
		return cmp.Or(s.latency, b.fleetLatency, serverPrior)
	}
	return cmp.Or(s.latency, b.gauge.Unhindered(), serverPrior)
}

// expect is the response time that a request sent to s with rif in flight should see.
func (b *Balancer) expect(s *server, class int, rif float64) Ms {
	return b.service(s)*b.fit.Of(class)*b.fit.Stretch(rif+1) + s.network
}

// overdue is for how long at least a server has owed an answer, where answers alone tell service times.
func (b *Balancer) overdue(s *server) Ms {
	if s.out == 0 || b.told && b.cfg.Probes {
		return 0
	}
	return b.now - s.quietAt
}

// fraction is this sidecar's part of the fleet's traffic.
func (b *Balancer) fraction() float64 {
	return limit.Part(b.fracOwn, b.fracAll, b.arrivals.PerMs(b.now)*1000, b.quotas, b.cfg.Instances)
}
