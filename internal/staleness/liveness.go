package staleness

import "time"

// Liveness is what is known of one server's process beside the list: when it last was there for certain.
type Liveness struct{ AliveAt, ProbedAt time.Time }

// Observe takes note of an answer to what was sent at that moment over a connection that had come up at connectedAt. The process is known
// until processUntil, see Validity; isProbe says that it was a probe, answered as by a server in service. Only a connection that was there
// while the list could be relied on, or while the process was known to be alive, leads to the process that the list names: another one
// may have come up in its place, at the same address and under the same id, and the list would say so. A server that drains declines
// probes, though it still serves requests, so that it began to drain after the probe was sent.
func (l *Liveness) Observe(sentAt, connectedAt, processUntil time.Time, isProbe bool) {
	if connectedAt.IsZero() || connectedAt.After(processUntil) && connectedAt.After(l.AliveAt) {
		return
	}
	if sentAt.After(l.AliveAt) { // answers come in any order
		l.AliveAt = sentAt
	}
	if isProbe && sentAt.After(l.ProbedAt) {
		l.ProbedAt = sentAt
	}
}
