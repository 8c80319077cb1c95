package policy

import "plankrouter/internal/limit"

// Slow start (rule 4): a cold server gets a warm one's part, times what it must bear by now.

const (
	coldFresh = 1000.0 // ms for which a cold server's report of room counts
	coldIdle  = 0.5    // of what it can run side by side by now: with less in flight it has room
)

func (b *Balancer) warmth(s *server) float64 {
	return limit.Warmth(b.now-s.info.StartedAt, s.info.StartedAt > 0, b.cfg.StartCapacity, b.cfg.WarmUpTime)
}

func (b *Balancer) warmEnough(s *server) bool {
	w := b.warmth(s)
	if w >= 1 {
		return true
	}
	room := b.now-s.reportAt <= coldFresh && s.rif < coldIdle*w*b.fit.SideBySide() // as it has just said
	rate := limit.ColdRate(w, b.cfg.OverloadMultiple, room, b.sendRate.PerMs(b.now), b.arrivals.PerMs(b.now))
	return s.cold.Fill(b.now, rate/float64(max(1, b.ready)), 1)
}
