package backend

import (
	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"time"
)

// isOver reports whether nothing of the call may be written any more: it looks whether its consumer is there at this moment. It is
// called with mu held.
func (a *attempt) isOver() bool {
	return a.stage == stageEnded || a.request != nil && a.request.CheckClientGone()
}

// expiredOrForbidden is the guard of all that is written of a call: it says why neither the first nor the last byte may be; Open = it may. It
// is called with mu held.
func (a *attempt) expiredOrForbidden(now time.Time, first bool) outcome.Kind {
	rules := a.endpoint.client.settings.Rules
	switch {
	case a.stage == stageEnded:
		return outcome.Withdrawn
	case a.isOver():
		rules.Prevented(invariant.ClientGone)
		return outcome.Withdrawn
	case a.expires.GuardPassed(now):
		rules.Prevented(invariant.RepeatWindow)
		return outcome.Expired
	case first && a.startBy.GuardPassed(now): // the list said so while the connection came up
		rules.Prevented(invariant.DrainGrace)
		return outcome.ServerDraining
	case !a.deadline.IsZero() && !now.Before(a.deadline): // it is about to be stopped
		return outcome.Withdrawn
	}
	return outcome.Open
}

// recordViolations looks, once the first byte or the last one is written, whether that was in time: what was held up since its guard has
// asked got past it.
func (a *attempt) recordViolations(first bool) {
	if a.request == nil {
		return
	}
	rules, now := a.endpoint.client.settings.Rules, time.Now()
	if late := a.request.ClientGoneFor(now); late > invariant.ClientGoneGrace {
		rules.Violated(invariant.ClientGone, "request=%q provider=%s late_ms=%.1f", a.request.ID, a.endpoint.name, late.Seconds()*1e3)
	}
	a.mu.Lock()
	notAfter, expires := a.startBy, a.expires
	a.mu.Unlock()
	if expires.ViolatedAt(now) {
		rules.Violated(invariant.RepeatWindow, "request=%q provider=%s", a.request.ID, a.endpoint.name)
	}
	if first && notAfter.ViolatedAt(now) {
		rules.Violated(invariant.DrainGrace, "request=%q provider=%s", a.request.ID, a.endpoint.name)
	}
	if a.upload != nil { // its client does not wait yet
		return
	}
	if left := a.request.Timeout - now.Sub(a.request.SentAt); a.timeoutSent > left+invariant.DeadlineSlack {
		rules.Violated(invariant.Deadline, "request=%q provider=%s told_ms=%d left_ms=%d", a.request.ID, a.endpoint.name,
			a.timeoutSent.Milliseconds(), left.Milliseconds())
	}
}
