package policy

// Retries: where and whether a request may be tried again.

const (
	retriesPerRequest = 0.1  // further attempts a request, at most: keeps retries from becoming the load
	maxRetryBudget    = 10.0 // further attempts that may be saved up
)

// mayRetryAt is rule 2 for a further attempt: the only place that says where one is allowed.
func (b *Balancer) mayRetryAt(s *server, r *request) bool {
	c := &b.cfg.Classes[r.class]
	if !r.mayHaveRun || c.Idempotency != WithIdempotencyKey {
		return !r.mayHaveRun || c.Idempotency == Idempotent
	}
	zone := s.info.Zone == r.ranZone
	return b.now < r.repeatsDroppedUntil && (c.KeyScope == ScopeAll ||
		zone && (c.KeyScope == ScopeZone || s.info.Cell == r.ranCell))
}

// mayRefuse is rule 2 for a refusal.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.cfg.Classes[r.class]
	return !r.inFlight && (!r.mayHaveRun || c.Idempotency == Idempotent || c.Idempotency == WithIdempotencyKey && c.KeyScope == ScopeAll)
}
