package policy

import "plankrouter/policy/internal/slowstart"

const (
	maxSlowStartReportAge   = 1000.0 // ms for which a cold server's report of free capacity counts
	freeConcurrencyFraction = 0.5    // of what it runs concurrently by now: with less in flight it has capacity
)

// slowStartFraction is the part of its capacity that a server bears by now: 1 unless it has started a short while ago.
func (b *Balancer) slowStartFraction(s *server) float64 {
	startKnown := s.info.StartedAt > 0
	return slowstart.Fraction(b.now-s.info.StartedAt, startKnown, b.cfg.StartCapacity, b.cfg.WarmUpTime)
}

// hasSlowStartBudget reports whether this instance may send the server a request, as one of all instances that together
// must not overload it while it is cold.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	fraction := b.slowStartFraction(s)
	if fraction >= 1 {
		return true
	}
	hasCapacity := b.now-s.reportedAt <= maxSlowStartReportAge && s.rif < freeConcurrencyFraction*fraction*b.loadModel.Concurrency()
	rate := slowstart.Rate(fraction, b.cfg.OverloadMultiple, hasCapacity, b.sendRate.PerMs(b.now), b.arrivalRate.PerMs(b.now))
	return s.slowStartBudget.Fill(b.now, rate/float64(max(1, b.readyCount)), 1)
}
