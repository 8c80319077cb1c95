package backend

import "time"

const (
	// maxHold is how long the beginning of a body of unknown length is held back while it arrives, because it may be complete
	// within MaxBody.
	maxHold = 600 * time.Millisecond
	// maxQuietHold is how long bytes are held back while nothing more arrives. A client that waits 2 s for bytes that its server
	// has sent counts as cut off; the difference is for two hold-ups of 0.15 s and the way to the client.
	maxQuietHold = 1500 * time.Millisecond
	// holdMargin is how long before the response is due its beginning is forwarded at the latest: a hold-up of the process of
	// 0.15 s, and 50 ms for the way to the client. After a longer one the deadline would be found to be over first.
	holdMargin = 200 * time.Millisecond
	// minFlow is the time over which bytes have to have arrived for the rest to be expected soon.
	minFlow = 50 * time.Millisecond
	// maxResponsePause bounds the pauses in a head, and in a body that has to be whole before it is forwarded. It is no shorter than
	// the longest deadline of the platform, so that there only the deadline ends such a response.
	maxResponsePause = 3 * time.Second
	// maxErrorPause bounds the pauses in a response of which nothing is forwarded: a probe's, or the body of an error.
	maxErrorPause = 400 * time.Millisecond
)

// holdMode is what bounds the time for reading a response of which nothing is forwarded yet.
type holdMode uint8

const (
	holdUntilWhole   holdMode = iota // a pause of maxResponsePause
	holdUntilForward                 // the time at which its beginning is forwarded
	holdUntilPause                   // a pause of maxErrorPause, after which what was received is enough
)

// hold is the state of a response of which nothing is forwarded yet.
type hold struct {
	mode         holdMode
	forwardBy    time.Time // with holdUntilForward: when the beginning is forwarded at the latest
	bodyBegunAt  time.Time // with holdUntilForward: when the body's first bytes were received; zero = none were
	lastProgress time.Time // when bytes were last received
}

// newBodyHold returns the hold of a body of unknown length, in a response that is due by the given time. hasBytes says whether
// bytes of the body were received together with the head.
func newBodyHold(now, due time.Time, hasBytes bool) hold {
	h := hold{mode: holdUntilForward, forwardBy: due.Add(-holdMargin), lastProgress: now}
	if hasBytes {
		h.bodyBegunAt = now
	}
	return h
}

// progress records that bytes were received.
func (h *hold) progress(now time.Time) {
	h.lastProgress = now
	if h.bodyBegunAt.IsZero() {
		h.bodyBegunAt = now
	}
}

// readDeadline returns the time by which the read of the response times out.
func (h *hold) readDeadline() time.Time {
	switch h.mode {
	case holdUntilPause:
		return h.lastProgress.Add(maxErrorPause)
	case holdUntilForward:
		return h.forwardAt()
	}
	return h.lastProgress.Add(maxResponsePause)
}

// forwardAt returns the time at which what has been received is forwarded.
func (h *hold) forwardAt() time.Time {
	var end time.Time
	switch {
	case h.bodyBegunAt.IsZero():
		end = h.lastProgress.Add(maxResponsePause)
	case h.isFlowing():
		end = h.bodyBegunAt.Add(maxHold)
	default:
		end = h.bodyBegunAt.Add(maxQuietHold)
	}
	if end.Before(h.forwardBy) {
		return end
	}
	return h.forwardBy
}

// isFlowing reports whether the body has been arriving for a while.
func (h *hold) isFlowing() bool { return h.lastProgress.Sub(h.bodyBegunAt) >= minFlow }

// endsReading reports whether the response is used as far as it was received, after the read of it has timed out.
func (h *hold) endsReading(now time.Time) bool {
	switch h.mode {
	case holdUntilForward:
		return !now.Before(h.forwardAt())
	case holdUntilPause:
		return true
	}
	return false
}

// responseDue returns the time by which the response to an attempt is due whose last byte was written at sentAt.
func (a *attempt) responseDue(sentAt time.Time) time.Time {
	if a.deadline.IsZero() { // the time of a streamed request counts from its last byte
		return sentAt.Add(a.timeout - a.heldBack)
	}
	return a.responseBy
}
