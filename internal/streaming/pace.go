package streaming

import "time"

// A peer that sends a body is slow within these bounds, and bad beyond them.
const (
	pauseMost = 1200 * time.Millisecond
	paceLeast = 24 << 10        // bytes a second, on average,
	paceAfter = 2 * time.Second // after this
)

// Pace says until when more of a body must have come. It reads no clock.
type Pace struct {
	Began time.Time
	Got   int64 // bytes so far
}

// Until is that moment, seen from now.
func (p *Pace) Until(now time.Time) time.Time {
	least := p.Began.Add(paceAfter + time.Duration(p.Got)*time.Second/paceLeast)
	if pause := now.Add(pauseMost); pause.Before(least) {
		return pause
	}
	return least
}
