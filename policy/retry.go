package policy

const (
	timeoutMultiple    = 8.0 // expected responses after which a request that may be repeated is tried elsewhere
	minTimeoutFraction = 0.5 // of the tightest latency objective: no time-out of such an attempt is shorter
	maxTimeoutFraction = 0.5 // of the time left, past which such a time-out would leave too little for another attempt
)

// takeRetry reports whether the request may have a further attempt, and takes that from the budget.
func (b *Balancer) takeRetry(r *request, e *Event) bool {
	canRepeat := e.Status != NotSent && !e.BodyConsumed && r.attempts < b.cfg.Classes[r.class].Attempts
	if !canRepeat || !b.retryBudget.Allows() || r.answerBy-b.now <= b.answerMargin {
		return false
	}
	b.retryBudget.Take()
	return true
}

// attemptTimeout is the time that the next attempt may take: all that is left, or less where a further one may follow.
func (b *Balancer) attemptTimeout(r *request) Ms {
	class := &b.cfg.Classes[r.class]
	timeLeft := r.answerBy - b.now
	timeout := max(timeoutMultiple*r.expectedLatency, minTimeoutFraction*b.minObjective)
	mayRetry := class.Idempotency != NonIdempotent && r.attempts+1 < class.Attempts && b.retryBudget.Allows()
	if mayRetry && timeout < maxTimeoutFraction*timeLeft {
		return timeout
	}
	return timeLeft
}

// markMayHaveRun notes that an attempt at the server may have had an effect. The first one decides where and how long
// servers drop a repeat.
func (b *Balancer) markMayHaveRun(r *request, s *server) {
	if !r.mayHaveRun && s != nil {
		window := b.cfg.Classes[r.class].KeyWindow - b.answerMargin
		r.repeatsDroppedUntil = r.sentAt + window
		r.ranZone, r.ranCell = s.info.Zone, s.info.Cell
	}
	r.mayHaveRun = true
}

// mayRetryAt reports whether the server may have the request without it running twice. It is the only place that says
// where an attempt is allowed.
func (b *Balancer) mayRetryAt(s *server, r *request) bool {
	class := &b.cfg.Classes[r.class]
	if !r.mayHaveRun || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency != WithIdempotencyKey || b.now >= r.repeatsDroppedUntil {
		return false
	}
	sameZone := s.info.Zone == r.ranZone
	sameCell := sameZone && s.info.Cell == r.ranCell
	return class.KeyScope == ScopeAll || class.KeyScope == ScopeZone && sameZone || sameCell
}

// mayRefuse reports whether a refusal, which says that the request may be sent again, would be true: no attempt is in
// flight, and none has run or a repeat does no harm wherever it goes.
func (b *Balancer) mayRefuse(r *request) bool {
	if r.inFlight {
		return false
	}
	class := &b.cfg.Classes[r.class]
	return !r.mayHaveRun || class.Idempotency == Idempotent || class.Idempotency == WithIdempotencyKey && class.KeyScope == ScopeAll
}
