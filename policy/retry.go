package policy

const (
	timeoutMultiple    = 8.0 // timeout of an attempt that may be retried, in expected response times
	minTimeoutFraction = 0.5 // lower bound of the timeout by timeoutMultiple, as a fraction of the tightest latency objective
	maxTimeoutFraction = 0.5 // a longer timeout, as a fraction of the time left, leaves no time for a retry and is not used
)

// takeRetry reports whether the request may be retried, and if so takes the retry from the budget.
func (b *Balancer) takeRetry(r *request, e *Event) bool {
	canRepeat := e.Status != NotSent && !e.BodyConsumed && r.attempts < b.cfg.Classes[r.class].Attempts
	if !canRepeat || !b.retryBudget.Allows() || r.respondBy-b.now <= b.responseMargin {
		return false
	}
	b.retryBudget.Take()
	return true
}

// attemptTimeout returns the timeout of the next attempt: all the time that is left, or less if a retry may follow.
func (b *Balancer) attemptTimeout(r *request) Ms {
	class := &b.cfg.Classes[r.class]
	timeLeft := r.respondBy - b.now
	timeout := max(timeoutMultiple*r.expectedLatency, minTimeoutFraction*b.minObjective)
	mayRetry := class.Idempotency != NonIdempotent && r.attempts+1 < class.Attempts && b.retryBudget.Allows()
	if mayRetry && timeout < maxTimeoutFraction*timeLeft {
		return timeout
	}
	return timeLeft
}

// markMayHaveRun records that an attempt at the server may have had an effect. The first such attempt determines which
// servers drop repeats, and until when.
func (b *Balancer) markMayHaveRun(r *request, s *server) {
	if !r.mayHaveRun && s != nil {
		window := b.cfg.Classes[r.class].KeyWindow - b.responseMargin
		r.repeatsDroppedUntil = r.sentAt + window
		r.ranZone, r.ranCell = s.info.Zone, s.info.Cell
	}
	r.mayHaveRun = true
}

// mayRetryAt reports whether sending the request to the server is safe: it has not run before, or may run twice, or the
// server would drop the repeat. No other code decides this.
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

// mayReject reports whether the request may be rejected, which tells the client that it may safely send it again: no attempt
// is in flight, and none can have run or a repeat is harmless at any server.
func (b *Balancer) mayReject(r *request) bool {
	if r.inFlight {
		return false
	}
	class := &b.cfg.Classes[r.class]
	return !r.mayHaveRun || class.Idempotency == Idempotent || class.Idempotency == WithIdempotencyKey && class.KeyScope == ScopeAll
}
