package policy

import "plankrouter/policy/internal/slowstart"

const (
	maxSlowStartReportAge   = 1000.0 // ms; maximum age of a report that shows free capacity of a server in slow start
	freeConcurrencyFraction = 0.5    // fraction of a starting server's concurrency below which its RIF shows free capacity
)

// slowStartFraction returns the fraction of its full capacity that a server has now: 1 unless it has started recently.
func (b *Balancer) slowStartFraction(s *server) float64 {
	startKnown := s.info.StartedAt > 0
	return slowstart.Fraction(b.now-s.info.StartedAt, startKnown, b.cfg.StartCapacity, b.cfg.WarmUpTime)
}

// hasSlowStartBudget reports whether slow start allows this instance to send a request to the server. The budget is this
// instance's share of what all instances together may send without overloading a starting server.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	fraction := b.slowStartFraction(s)
	if fraction >= 1 {
		return true
	}
	hasCapacity := b.now-s.reportedAt <= maxSlowStartReportAge && s.rif < freeConcurrencyFraction*fraction*b.loadModel.Concurrency()
	rate := slowstart.Rate(fraction, b.cfg.OverloadMultiple, hasCapacity, b.sendRate.PerMs(b.now), b.arrivalRate.PerMs(b.now))
	return s.slowStartBudget.Fill(b.now, rate/float64(max(1, b.readyCount)), 1)
}
