package backend

import (
	"time"

	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
)

// isOver reports whether nothing of the attempt may be written any more: it has ended, or its client has left, which is looked up at
// this moment. It is called with mu held.
func (a *attempt) isOver() bool {
	return a.stage == stageEnded || a.request != nil && a.request.CheckClientGone()
}

// expiredOrForbidden is the guard before the first byte of an attempt and before its last: it says why that may not be written;
// Open = it may. It is called with mu held.
func (a *attempt) expiredOrForbidden(now time.Time, first bool) outcome.Kind {
	rules := a.endpoint.client.settings.Invariants
	switch {
	case a.stage == stageEnded:
		return outcome.Withdrawn
	case a.isOver():
		rules.Prevented(invariant.ClientGone)
		return outcome.Withdrawn
	case a.expires.GuardPassed(now):
		rules.Prevented(invariant.RepeatWindow)
		return outcome.Expired
	case first && a.startBy.GuardPassed(now): // the list has said so while the connection came up
		rules.Prevented(invariant.DrainGrace)
		return outcome.ServerDraining
	case !a.deadline.IsZero() && !now.Before(a.deadline): // it is about to be cancelled
		return outcome.Withdrawn
	}
	return outcome.Open
}

// recordViolations checks, once the first byte or the last one is written, whether it was in time: a pause of the process between
// guard and write lets it be late.
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
	if a.upload != nil { // a client that still sends does not wait yet
		return
	}
	left := a.request.Timeout - now.Sub(a.request.SentAt)
	if a.timeoutSent > left+invariant.DeadlineSlack {
		rules.Violated(invariant.Deadline, "request=%q server=%s sent_ms=%d left_ms=%d", a.request.ID, a.endpoint.name,
			a.timeoutSent.Milliseconds(), left.Milliseconds())
	}
}
