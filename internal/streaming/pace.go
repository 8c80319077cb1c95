package streaming

import "time"

// The least pace of a body: a sender that is slower is given up.
const (
	maxPause  = 1200 * time.Millisecond
	minPace   = 24 << 10        // bytes a second, on average,
	paceGrace = 2 * time.Second // after this
)

// Pace is how much of a body has come since it began. It reads no clock.
type Pace struct {
	Began time.Time
	Got   int64 // bytes so far
}

// Deadline is when more of the body must have come at the latest, seen from now.
func (p *Pace) Deadline(now time.Time) time.Time {
	least := p.Began.Add(paceGrace + time.Duration(p.Got)*time.Second/minPace)
	if pause := now.Add(maxPause); pause.Before(least) {
		return pause
	}
	return least
}
