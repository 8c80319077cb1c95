package dispatch

import (
	"plankrouter/internal/invariant"
	"plankrouter/policy"
)

// maySend is the guard of every attempt: it prevents what a sound policy does not ask for.
func (d *Dispatcher) maySend(pending *pendingRequest, server *serverRecord) bool {
	switch {
	case pending == nil || pending.answered || server == nil:
		return false
	case pending.underWay():
		d.reportPrevented(invariant.OneAttempt, pending, "send")
		return false
	case pending.mayRun && d.classOf(pending).Idempotency == policy.NonIdempotent:
		d.reportPrevented(invariant.Effect, pending, "send")
		return false
	case server.health != policy.Ready:
		d.reportPrevented(invariant.DrainGrace, pending, "send")
		return false
	}
	return true
}

// mayReject is the guard of every refusal, which promises that trying again is harmless.
func (d *Dispatcher) mayReject(pending *pendingRequest) bool {
	if !pending.mayHaveRun() {
		return true
	}
	class := d.classOf(pending)
	return class.Idempotency == policy.Idempotent || class.Idempotency == policy.WithIdempotencyKey && class.KeyScope == policy.ScopeAll
}

// classOf returns the request's class, as the policy knows it.
func (d *Dispatcher) classOf(pending *pendingRequest) policy.Class {
	if position := pending.request.Class; position >= 0 && position < len(d.options.Policy.Classes) {
		return d.options.Policy.Classes[position]
	}
	return policy.Class{Idempotency: policy.NonIdempotent}
}

// reportPrevented counts and logs what a guard has prevented: the policy should not have asked for it.
func (d *Dispatcher) reportPrevented(rule invariant.Rule, pending *pendingRequest, what string) {
	d.options.Invariants.Prevented(rule)
	d.options.Logf("rule=%s state=held_back request=%q what=%s attempts=%d may_have_run=%t under_way=%t", rule, pending.request.ID, what,
		pending.attempts, pending.mayRun, pending.underWay())
}
