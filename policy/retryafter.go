package policy

// Advice for clients that are refused.

// retryAfter advises when to try again: not soon beyond a share, else when what servers work on has left.
func (b *Balancer) retryAfter(r *request) Ms {
	if r.overQuota {
		return b.cfg.MaxRetryAfter
	}
	return min(b.cfg.MaxRetryAfter, max(b.fleetLatency, priorServiceTime))
}
