package shutdown

import "time"

// HeartbeatInterval is the time between two calls of Heartbeat.Beat.
const HeartbeatInterval = 40 * time.Millisecond

// maxBeatGap is the time from one beat to the next beyond which the process stalled in between.
const maxBeatGap = HeartbeatInterval * 3 / 2

// Heartbeat knows since when a signal that is read now may have been sent. The kernel does not say, and whoever sent it counts from
// then, however long the process stalls before it reads it. So the process beats as long as no signal waits. The first beat after
// a stall proves nothing: a signal that was sent meanwhile may be on its way through the runtime.
type Heartbeat struct {
	last         time.Time
	provenUnsent time.Time    // a beat by which no signal had been sent
	earlier      [2]time.Time // the beats before last, the later one first
}

// NewHeartbeat returns the heartbeat of a process that starts now.
func NewHeartbeat(now time.Time) *Heartbeat {
	return &Heartbeat{last: now, provenUnsent: now, earlier: [2]time.Time{now, now}}
}

// Beat notes that no signal waits at now.
func (h *Heartbeat) Beat(now time.Time) {
	if now.Sub(h.last) <= maxBeatGap {
		h.provenUnsent = h.last // one beat back: a signal that this one has just missed was sent after that
	}
	h.earlier = [2]time.Time{h.last, h.earlier[0]}
	h.last = now
}

// EarliestSignal is the earliest moment at which a signal that is read now can have been sent. Where the process stalls all the time, so
// that no beat is in time, it is the third last beat.
func (h *Heartbeat) EarliestSignal() time.Time {
	if h.earlier[1].After(h.provenUnsent) {
		return h.earlier[1]
	}
	return h.provenUnsent
}
