package dispatch

import (
	"plankrouter/internal/invariant"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// maySend reports whether an attempt for the request may be sent to the server. It is called before every attempt; a correct
// policy requests no attempt for which it returns false. An attempt that would violate an invariant is counted and logged.
func (d *Dispatcher) maySend(pending *pendingRequest, server *serverRecord) bool {
	switch {
	case pending == nil || pending.closed || server == nil:
		return false
	case pending.inFlight():
		d.reportPrevented(invariant.OneAttempt, pending, "send")
		return false
	case pending.endedMayHaveRun && d.classOf(pending.request).Idempotency == policy.NonIdempotent:
		d.reportPrevented(invariant.UnsafeRepeat, pending, "send")
		return false
	case server.health != policy.Ready:
		d.reportPrevented(invariant.DrainGrace, pending, "send")
		return false
	}
	return true
}

// mayReject reports whether the request may be rejected. A rejection promises that a retry is harmless. It is allowed if no
// attempt may have run, or if the request's class makes a repetition safe on every server.
func (d *Dispatcher) mayReject(pending *pendingRequest) bool {
	if !pending.mayHaveRun() {
		return true
	}
	class := d.classOf(pending.request)
	return class.Idempotency == policy.Idempotent || class.Idempotency == policy.WithIdempotencyKey && class.KeyScope == policy.ScopeAll
}

// classOf returns the settings of the request's class; an unknown class is non-idempotent.
func (d *Dispatcher) classOf(req *request.Request) policy.Class {
	if position := req.Class; position >= 0 && position < len(d.options.Policy.Classes) {
		return d.options.Policy.Classes[position]
	}
	return policy.Class{Idempotency: policy.NonIdempotent}
}

// reportPrevented counts and logs an act that a guard has prevented.
func (d *Dispatcher) reportPrevented(rule invariant.Rule, pending *pendingRequest, what string) {
	d.options.Invariants.Prevented(rule)
	d.options.Logf("rule=%s state=held_back request=%q what=%s attempts=%d may_have_run=%t in_flight=%t", rule, pending.request.ID, what,
		pending.attemptsStarted, pending.endedMayHaveRun, pending.inFlight())
}
