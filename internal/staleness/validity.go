// Package staleness has until when the endpoint list may be relied on, and what is seen of servers that confirms or contradicts it. It does
// no input or output and reads no clock.
package staleness

import (
	"time"

	"plankrouter/internal/shutdown"
)

// FirstByteLead is the time in which a first byte that is about to be written goes out: the process may stall there, and it has a part of
// a core. A connection usually comes up within it, too.
const FirstByteLead = shutdown.MaxStall + 50*time.Millisecond

// A grace that is hardly longer than FirstByteLead leaves one part in shortGraceDivisor for first bytes, and one no longer than
// minFirstByteLead none.
const (
	shortGraceDivisor = 4
	minFirstByteLead  = 100 * time.Millisecond
)

// Validity is until when the list in force may be relied on.
type Validity struct {
	// ListUntil is the time until which no change has taken effect that the list does not show. After that a server that it names as in
	// service may have begun to drain, and that may take effect as soon as the change would have arrived, although it never did: the
	// watch has been silent for so long that it counts as broken. Liveness takes the list's place then.
	ListUntil time.Time
	// ProcessUntil is the time until which the process that answers at a server's address is the one that the list names.
	ProcessUntil time.Time
}

// StartBy returns until when a first byte may go to a server whose drain would have that grace; zero = at any time, since the list never
// becomes stale.
func (v Validity) StartBy(l Liveness, grace time.Duration) time.Time {
	if v.ListUntil.IsZero() {
		return time.Time{}
	}
	validUntil := v.ListUntil
	if l.ProbedAt.After(validUntil) {
		validUntil = l.ProbedAt
	}
	_, writeFor := DrainLimits(grace)
	return validUntil.Add(writeFor)
}

// DrainLimits returns for how long after a drain, which has that grace, a server may still be picked and a first byte still be written. The
// same goes for a drain that may have taken effect unseen: from Validity.ListUntil on, or since the server was last probed. A connection
// that comes up too late is not written to.
func DrainLimits(grace time.Duration) (pickFor, writeFor time.Duration) {
	limit := max(0, grace-FirstByteLead, min(grace/shortGraceDivisor, grace-minFirstByteLead))
	return limit, limit
}
