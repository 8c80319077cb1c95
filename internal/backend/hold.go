package backend

import "time"

const (
	// maxHold is how long the beginning of a response of unknown length is held back, because it may be complete within MaxBody. It
	// is longer than maxResponsePause: a response that stops in its first bytes is malformed, and not forwarded at all.
	maxHold = 600 * time.Millisecond
	// holdMargin is how long before the attempt's deadline the beginning is forwarded at the latest.
	holdMargin = 50 * time.Millisecond
	// minFlow is the time over which bytes have to have arrived for the rest to be expected, too.
	minFlow = 50 * time.Millisecond
)

// hold is the state of a response whose beginning is held back until it is known whether it is short. The zero hold holds
// nothing back.
type hold struct {
	until        time.Time // zero = nothing is held back
	begunAt      time.Time // when the body began
	lastProgress time.Time // when bytes were last received
	awaitsFlow   bool      // the hold would be over, but the body is not flowing yet
}

// newHold returns the hold of a body that begins now, in a response that is due by deadline.
func newHold(now, deadline time.Time) hold {
	h := hold{until: now.Add(maxHold), begunAt: now, lastProgress: now}
	if latest := deadline.Add(-holdMargin); latest.Before(h.until) {
		h.until = latest
	}
	return h
}

// readDeadline returns the time by which the read of the response times out.
func (h *hold) readDeadline() time.Time {
	pauseEnd := h.lastProgress.Add(maxResponsePause)
	if h.until.IsZero() || pauseEnd.Before(h.until) || h.awaitsFlow && !h.isFlowing() {
		return pauseEnd
	}
	return h.until
}

// isOver reports whether what has been received may be forwarded now.
func (h *hold) isOver(now time.Time) bool { return !h.until.IsZero() && !now.Before(h.until) }

// isFlowing reports whether the body has been arriving for a while, so that its rest can be expected.
func (h *hold) isFlowing() bool { return h.lastProgress.Sub(h.begunAt) >= minFlow }

// responseDue returns the time by which the response to an attempt is due whose last byte was written at sentAt.
func (a *attempt) responseDue(sentAt time.Time) time.Time {
	if a.deadline.IsZero() { // the time of a streamed request counts from its last byte
		return sentAt.Add(a.timeout - a.heldBack)
	}
	return a.deadline
}
