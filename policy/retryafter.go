package policy

// retryAfter advises a refused client when to try again: as late as it will follow beyond its tenant's quota, else when
// what servers work on now has left.
func (b *Balancer) retryAfter(r *request) Ms {
	if r.overQuota {
		return b.cfg.MaxRetryAfter
	}
	return min(b.cfg.MaxRetryAfter, max(b.fleetLatency, priorServiceTime))
}
