package shutdown

import "time"

// HeartbeatInterval is the time between two calls of Heartbeat.Beat.
const HeartbeatInterval = 40 * time.Millisecond

// beatLate is the time from one beat to the next beyond which the process was held up in between.
const beatLate = HeartbeatInterval * 3 / 2

// Heartbeat knows since when a signal that is read now may have been sent. The kernel does not tell that, and whoever sent it counts from
// then, however long the process is held up before it reads it. So the process beats as long as no signal waits. The first beat after
// a hold-up proves nothing: a signal that was sent meanwhile may be on its way through the runtime.
type Heartbeat struct {
	last, proof time.Time
	before      [2]time.Time // the beats before last
}

// NewHeartbeat returns the heartbeat of a process that starts now.
func NewHeartbeat(now time.Time) *Heartbeat {
	return &Heartbeat{last: now, proof: now, before: [2]time.Time{now, now}}
}

// Beat notes that no signal waits at now.
func (h *Heartbeat) Beat(now time.Time) {
	if now.Sub(h.last) <= beatLate {
		h.proof = h.last // one beat back: the signal that this one has just missed was sent after that
	}
	h.before = [2]time.Time{h.last, h.before[0]}
	h.last = now
}

// EarliestSignal is the earliest moment at which a signal that is read now can have been sent. Where the process is held up all the time, so that no
// beat is in time, it is the third last beat.
func (h *Heartbeat) EarliestSignal() time.Time {
	if h.before[1].After(h.proof) {
		return h.before[1]
	}
	return h.proof
}
