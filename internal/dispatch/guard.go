package dispatch

import (
	"plankrouter/internal/invariant"
	"plankrouter/policy"
)

// maySend is the guard of every attempt: it holds back what a sound module does not ask for.
func (s *Dispatcher) maySend(h *held, k *known) bool {
	switch {
	case h == nil || h.answered || k == nil:
		return false
	case h.call != 0:
		s.heldBack(invariant.OneAttempt, h, "send")
		return false
	case h.mayRun && s.class(h).Idempotency == policy.NonIdempotent:
		s.heldBack(invariant.Effect, h, "send")
		return false
	case k.health != policy.Ready:
		s.heldBack(invariant.DrainGrace, h, "send")
		return false
	}
	return true
}

// mayRefuse is the guard of every refusal, which promises that trying again is harmless.
func (s *Dispatcher) mayRefuse(h *held) bool {
	if !h.mayRun && h.call == 0 {
		return true
	}
	c := s.class(h)
	return c.Idempotency == policy.Idempotent || c.Idempotency == policy.WithIdempotencyKey && c.KeyScope == policy.ScopeAll
}

// class is that of the invocation, as the module knows it.
func (s *Dispatcher) class(h *held) policy.Class {
	if n := h.inv.Class; n >= 0 && n < len(s.set.Policy.Classes) {
		return s.set.Policy.Classes[n]
	}
	return policy.Class{Idempotency: policy.NonIdempotent}
}

// heldBack counts what a guard has held back, and logs it: the module should not have asked for it.
func (s *Dispatcher) heldBack(r invariant.Rule, h *held, what string) {
	s.set.Invariants.Prevented(r)
	s.set.Logf("rule=%s state=held_back request=%q what=%s attempts=%d may_have_run=%t under_way=%t", r, h.inv.ID, what, h.attempts,
		h.mayRun, h.call != 0)
}
