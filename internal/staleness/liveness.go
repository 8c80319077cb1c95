package staleness

import "time"

// Liveness is what one server's own responses prove about the process that the list names. AliveAt is the latest time at
// which it was certainly running, ProbedAt the latest at which it certainly accepted new requests; zero = never.
type Liveness struct{ AliveAt, ProbedAt time.Time }

// Observe records the response to a request or probe that was sent at sentAt over a connection that was established at
// connectedAt. processUntil is Validity.ProcessUntil; isProbe says that a probe was sent and that the response was that of
// a server in service. Only a connection that was established while the list could be relied on, or while the process was known
// to be running, leads to the process that the list names. Later, another process may have replaced it at the same address
// and under the same id, which only an up-to-date list would show. A draining server declines probes although it still serves
// requests, so that after such a response to a probe any drain began after the probe was sent.
func (l *Liveness) Observe(sentAt, connectedAt, processUntil time.Time, isProbe bool) {
	if connectedAt.IsZero() || connectedAt.After(processUntil) && connectedAt.After(l.AliveAt) {
		return
	}
	if sentAt.After(l.AliveAt) { // responses arrive in any order
		l.AliveAt = sentAt
	}
	if isProbe && sentAt.After(l.ProbedAt) {
		l.ProbedAt = sentAt
	}
}
