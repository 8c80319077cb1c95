package backend

import (
	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"time"
)

// over reports whether nothing of the call may be written any more: it looks whether its consumer is there at this moment. It is
// called with mu held.
func (c *call) over() bool { return c.stage == ended || c.inv != nil && c.inv.CheckClientGone() }

// barred is the guard of all that is written of a call: it says why neither the first nor the last byte may be; Open = it may. It
// is called with mu held.
func (c *call) barred(now time.Time, first bool) outcome.Kind {
	rules := c.at.of.set.Rules
	switch {
	case c.stage == ended:
		return outcome.Withdrawn
	case c.over():
		rules.Prevented(invariant.ClientGone)
		return outcome.Withdrawn
	case c.expires.GuardPassed(now):
		rules.Prevented(invariant.RepeatWindow)
		return outcome.Expired
	case first && c.notAfter.GuardPassed(now): // the list said so while the connection came up
		rules.Prevented(invariant.DrainGrace)
		return outcome.ServerDraining
	case !c.endsAt.IsZero() && !now.Before(c.endsAt): // it is about to be stopped
		return outcome.Withdrawn
	}
	return outcome.Open
}

// check looks, once the first byte or the last one is written, whether that was in time: what was held up since its guard has
// asked got past it.
func (c *call) check(first bool) {
	if c.inv == nil {
		return
	}
	rules, now := c.at.of.set.Rules, time.Now()
	if late := c.inv.ClientGoneFor(now); late > invariant.ClientGoneGrace {
		rules.Violated(invariant.ClientGone, "request=%q provider=%s late_ms=%.1f", c.inv.ID, c.at.name, late.Seconds()*1e3)
	}
	c.mu.Lock()
	notAfter, expires := c.notAfter, c.expires
	c.mu.Unlock()
	if expires.ViolatedAt(now) {
		rules.Violated(invariant.RepeatWindow, "request=%q provider=%s", c.inv.ID, c.at.name)
	}
	if first && notAfter.ViolatedAt(now) {
		rules.Violated(invariant.DrainGrace, "request=%q provider=%s", c.inv.ID, c.at.name)
	}
	if c.upload != nil { // its client does not wait yet
		return
	}
	if left := c.inv.Timeout - now.Sub(c.inv.SentAt); c.told > left+invariant.DeadlineSlack {
		rules.Violated(invariant.Deadline, "request=%q provider=%s told_ms=%d left_ms=%d", c.inv.ID, c.at.name,
			c.told.Milliseconds(), left.Milliseconds())
	}
}
