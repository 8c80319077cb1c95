package policy

import "cmp"

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

// sample learns from the duration of an attempt. Without reports durations are all there is.
func (b *Balancer) sample(s *server, r *request, took Ms, ended float64) {
	if alone := took; !s.reported {
		if r != nil && !b.told { // by what all take: a server's own time and waiting show as a product alone
			alone = max(0, took-s.network) / b.fit.Of(r.class) / b.fit.Stretch(r.sentRIF+1)
			r.sentBase = b.gauge.Unhindered()
		}
		s.latency = b.service(s) + latencyStep*(alone-b.service(s))
	}
	if r != nil && (s.reported || !b.told && r.sentBase > 0) && r.sentAt-b.bornAt >= firstAnswers {
		b.fit.Add(r.class, r.sentRIF+1, min(10, max(0, took-s.network)/r.sentBase), ended)
		if !b.told {
			b.fit.Level()
		}
	}
}
