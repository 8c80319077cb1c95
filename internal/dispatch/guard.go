package dispatch

import (
	"plankrouter/internal/invariant"
	"plankrouter/policy"
)

// maySend is the guard of every attempt: it holds back what a sound module does not ask for.
func (d *Dispatcher) maySend(h *pendingRequest, k *serverRecord) bool {
	switch {
	case h == nil || h.answered || k == nil:
		return false
	case h.attempt != 0:
		d.reportPrevented(invariant.OneAttempt, h, "send")
		return false
	case h.mayRun && d.class(h).Idempotency == policy.NonIdempotent:
		d.reportPrevented(invariant.Effect, h, "send")
		return false
	case k.health != policy.Ready:
		d.reportPrevented(invariant.DrainGrace, h, "send")
		return false
	}
	return true
}

// mayReject is the guard of every refusal, which promises that trying again is harmless.
func (d *Dispatcher) mayReject(h *pendingRequest) bool {
	if !h.mayRun && h.attempt == 0 {
		return true
	}
	c := d.class(h)
	return c.Idempotency == policy.Idempotent || c.Idempotency == policy.WithIdempotencyKey && c.KeyScope == policy.ScopeAll
}

// class is that of the invocation, as the module knows it.
func (d *Dispatcher) class(h *pendingRequest) policy.Class {
	if n := h.request.Class; n >= 0 && n < len(d.options.Policy.Classes) {
		return d.options.Policy.Classes[n]
	}
	return policy.Class{Idempotency: policy.NonIdempotent}
}

// reportPrevented counts what a guard has held back, and logs it: the module should not have asked for it.
func (d *Dispatcher) reportPrevented(r invariant.Rule, h *pendingRequest, what string) {
	d.options.Invariants.Prevented(r)
	d.options.Logf("rule=%s state=held_back request=%q what=%s attempts=%d may_have_run=%t under_way=%t", r, h.request.ID, what, h.attempts,
		h.mayRun, h.attempt != 0)
}
