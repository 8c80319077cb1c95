package streaming

import "time"

// The minimum rate of a body. The read of a slower one times out.
const (
	maxPause  = 1200 * time.Millisecond // between two pieces
	minPace   = 24 << 10                // bytes per second, on average after paceGrace
	paceGrace = 2 * time.Second         // time by which a body may exceed the time that minPace allows
)

// Pace records how much of a body has been received since it began. It reads no clock.
type Pace struct {
	StartedAt    time.Time
	LastProgress time.Time // when bytes were last received; before the first ones, StartedAt
	Received     int64     // bytes
}

// NewPace returns the Pace of a body that begins now.
func NewPace(now time.Time) *Pace { return &Pace{StartedAt: now, LastProgress: now} }

// Progress records that n bytes were received.
func (p *Pace) Progress(n int, now time.Time) {
	p.Received += int64(n)
	p.LastProgress = now
}

// Deadline returns the time by which more of the body must have been received, as of now.
func (p *Pace) Deadline(now time.Time) time.Time {
	rateDeadline := p.StartedAt.Add(paceGrace + time.Duration(p.Received)*time.Second/minPace)
	if pause := now.Add(maxPause); pause.Before(rateDeadline) {
		return pause
	}
	return rateDeadline
}
