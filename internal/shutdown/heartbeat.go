package shutdown

import "time"

// HeartbeatInterval is the time between two calls of Heartbeat.Beat.
const HeartbeatInterval = 40 * time.Millisecond

// maxBeatGap is the longest time between two beats that does not count as a stall of the process.
const maxBeatGap = HeartbeatInterval * 3 / 2

// Heartbeat bounds the time at which a signal was sent. The kernel does not report that time, but the sender counts from it,
// however long the process stalls before it reads the signal. So the process calls Beat at regular intervals while no signal
// is pending. The first beat after a stall proves nothing: a signal that was sent during the stall may still be on its way
// through the Go runtime.
type Heartbeat struct {
	last         time.Time    // the latest beat
	provenUnsent time.Time    // a signal that has not been read yet was sent no earlier than this beat
	earlier      [2]time.Time // the two beats before last, the later one first
}

// NewHeartbeat returns the heartbeat of a process that has received no signal up to now.
func NewHeartbeat(now time.Time) *Heartbeat {
	return &Heartbeat{last: now, provenUnsent: now, earlier: [2]time.Time{now, now}}
}

// Beat records that no signal is pending at now.
func (h *Heartbeat) Beat(now time.Time) {
	if now.Sub(h.last) <= maxBeatGap {
		h.provenUnsent = h.last // not now: a signal that this beat has just missed was sent after the previous one
	}
	h.earlier = [2]time.Time{h.last, h.earlier[0]}
	h.last = now
}

// EarliestSignal returns the earliest time at which a signal that is read now can have been sent. If the process stalls so
// often that every beat is late, it returns the third last beat.
func (h *Heartbeat) EarliestSignal() time.Time {
	if h.earlier[1].After(h.provenUnsent) {
		return h.earlier[1]
	}
	return h.provenUnsent
}
