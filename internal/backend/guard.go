package backend

import (
	"time"

	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
)

// isEndedOrClientGone reports whether nothing more of the attempt may be written: it has ended, or its client is gone, which
// is checked on the client's connection. It is called with mu held.
func (a *attempt) isEndedOrClientGone() bool {
	return a.stage == stageEnded || a.request != nil && a.request.CheckClientGone()
}

// checkWriteAllowed is the check before the first byte of an attempt and before its last. It returns why that byte may not be
// written, or Open if it may. It is called with mu held.
func (a *attempt) checkWriteAllowed(now time.Time, first bool) outcome.Kind {
	rules := a.endpoint.client.settings.Invariants
	switch {
	case a.stage == stageEnded:
		return outcome.Withdrawn
	case a.isEndedOrClientGone():
		rules.Prevented(invariant.ClientGone)
		return outcome.Withdrawn
	case a.expires.GuardPassed(now):
		rules.Prevented(invariant.RepeatWindow)
		return outcome.Expired
	case first && a.startBy.GuardPassed(now): // the endpoint list has marked the server as draining meanwhile
		rules.Prevented(invariant.DrainGrace)
		return outcome.ServerDraining
	case !a.deadline.IsZero() && !now.Before(a.deadline): // the dispatcher is about to cancel it
		return outcome.Withdrawn
	}
	return outcome.Open
}

// recordViolations checks, once the first byte or the last one is written, whether that byte was in time: a pause of the
// process between checkWriteAllowed and the write makes it late.
func (a *attempt) recordViolations(first bool) {
	if a.request == nil {
		return
	}
	rules := a.endpoint.client.settings.Invariants
	now := time.Now()
	if late := a.request.ClientGoneFor(now); late > invariant.ClientGoneGrace {
		rules.Violated(invariant.ClientGone, "request=%q server=%s late_ms=%.1f", a.request.ID, a.endpoint.name, late.Seconds()*1e3)
	}
	a.mu.Lock()
	startBy, expires := a.startBy, a.expires
	a.mu.Unlock()
	if expires.ViolatedAt(now) {
		rules.Violated(invariant.RepeatWindow, "request=%q server=%s", a.request.ID, a.endpoint.name)
	}
	if first && startBy.ViolatedAt(now) {
		rules.Violated(invariant.DrainGrace, "request=%q server=%s", a.request.ID, a.endpoint.name)
	}
	if a.upload != nil { // the deadline does not apply while the client is still sending the body
		return
	}
	left := a.request.Timeout - now.Sub(a.request.SentAt)
	if a.timeoutSent > left+invariant.DeadlineSlack {
		rules.Violated(invariant.Deadline, "request=%q server=%s sent_ms=%d left_ms=%d", a.request.ID, a.endpoint.name,
			a.timeoutSent.Milliseconds(), left.Milliseconds())
	}
}
