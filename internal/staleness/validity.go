// Package staleness defines until when the endpoint list may be relied on, and the observations of servers that confirm or
// contradict it. It does no I/O and reads no clock.
package staleness

import (
	"time"

	"plankrouter/internal/shutdown"
)

// FirstByteLead is the time reserved from the decision to write the first byte of a request until it is sent: the process may
// stall in between, and it has only a part of a core. A connection is usually established within it, too.
const FirstByteLead = shutdown.MaxStall + 50*time.Millisecond

// With a drain grace shorter than FirstByteLead, or hardly longer, first bytes may be written for grace/shortGraceDivisor, but
// never in the last minFirstByteLead of the grace. A grace of minFirstByteLead or less leaves no time for them.
const (
	shortGraceDivisor = 4
	minFirstByteLead  = 100 * time.Millisecond
)

// Validity holds the times until which the list in force may be relied on.
type Validity struct {
	// ListUntil is the time until which the list shows every change that has taken effect; zero = always. After that time a
	// server that the list names as in service may have begun to drain. The drain may have taken effect although the change
	// that reports it never arrived, because the watch has been silent for so long that it counts as failed. Liveness then
	// replaces the list.
	ListUntil time.Time
	// ProcessUntil is the time until which the process that responds at a server's address is the one that the list names.
	ProcessUntil time.Time
}

// StartBy returns the time until which the first byte of a request may be written to a server with the given drain grace;
// zero = at any time, since the list never becomes stale.
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

// DrainLimits returns for how long after the start of a drain with the given grace a server may still be picked, and the
// first byte of a request still be written to it. The same limits apply to a drain that may have taken effect unseen, counted
// from Validity.ListUntil or from the last probe of the server, whichever is later. No request is written to a connection
// that is established too late.
func DrainLimits(grace time.Duration) (pickFor, writeFor time.Duration) {
	limit := max(0, grace-FirstByteLead, min(grace/shortGraceDivisor, grace-minFirstByteLead))
	return limit, limit
}
