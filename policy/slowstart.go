package policy

import (
	"plankrouter/policy/internal/slowstart"
)

// Slow start (rule 4): a cold server gets a warm one's part, times what it must bear by now.

const (
	maxSlowStartReportAge = 1000.0 // ms for which a cold server's report of room counts
	slowStartRoomFraction = 0.5    // of what it can run side by side by now: with less in flight it has room
)

func (b *Balancer) slowStartFraction(s *server) float64 {
	return slowstart.Fraction(b.now-s.info.StartedAt, s.info.StartedAt > 0, b.cfg.StartCapacity, b.cfg.WarmUpTime)
}

func (b *Balancer) hasSlowStartBudget(s *server) bool {
	fraction := b.slowStartFraction(s)
	if fraction >= 1 {
		return true
	}
	hasRoom := b.now-s.reportedAt <= maxSlowStartReportAge && s.rif < slowStartRoomFraction*fraction*b.loadModel.Concurrency() // as it has just said
	rate := slowstart.Rate(fraction, b.cfg.OverloadMultiple, hasRoom, b.sendRate.PerMs(b.now), b.arrivalRate.PerMs(b.now))
	return s.slowStartBudget.Fill(b.now, rate/float64(max(1, b.readyCount)), 1)
}
