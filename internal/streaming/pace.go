package streaming

import "time"

// The bounds on a body that its sender writes slowly. The read of a slower one times out.
const (
	// maxPause is the longest pause between two pieces. A sender that has stopped has to get its error, or the close, within 3 s.
	maxPause  = 2700 * time.Millisecond
	minRate   = 24 << 10               // bytes per second, on average after rateGrace
	rateGrace = maxPause               // time by which a body may exceed the time that minRate allows
	minWait   = 250 * time.Millisecond // for a sender that was held back while the body was not read
)

// Pace bounds the time in which a body is received. Only the time in which the body's reader waits for the sender counts
// against the rate: while nobody reads, the sender is held back. It reads no clock.
type Pace struct {
	StartedAt    time.Time
	LastProgress time.Time // when the last bytes arrived; before the first ones, StartedAt
	Received     int64     // bytes

	waitingSince time.Time
	waited       time.Duration // before waitingSince
}

// NewPace returns the Pace of a body that begins now.
func NewPace(now time.Time) *Pace { return &Pace{StartedAt: now, LastProgress: now} }

// StartWaiting records that the body is read from now on, and returns the time by which more must have been received.
func (p *Pace) StartWaiting(now time.Time) time.Time {
	p.waitingSince = now
	return p.deadline(now)
}

// Progress records that n bytes were received, of which the last arrived sinceArrival ago, and returns the time by which more must
// have been received if the read goes on.
func (p *Pace) Progress(n int, now time.Time, sinceArrival time.Duration) time.Time {
	p.waited += now.Sub(p.waitingSince)
	p.waitingSince = now
	p.Received += int64(n)
	if arrivedAt := now.Add(-sinceArrival); arrivedAt.After(p.LastProgress) {
		p.LastProgress = arrivedAt
	}
	return p.deadline(now)
}

// deadline returns the earlier one of the times at which the pause and the rate are exceeded, and at least minWait from now.
func (p *Pace) deadline(now time.Time) time.Time {
	allowed := rateGrace + time.Duration(p.Received)*time.Second/minRate
	pauseEnd, rateEnd, earliest := p.LastProgress.Add(maxPause), now.Add(allowed-p.waited), now.Add(minWait)
	end := pauseEnd
	if rateEnd.Before(end) {
		end = rateEnd
	}
	if end.Before(earliest) {
		end = earliest
	}
	return end
}
