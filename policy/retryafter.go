package policy

// Advice for clients that are refused.

// comeBack advises when to try again: not soon beyond a share, else when what servers work on has left.
func (b *Balancer) comeBack(r *request) Ms {
	if r.over {
		return b.cfg.MaxRetryAfter
	}
	return min(b.cfg.MaxRetryAfter, max(b.fleetLatency, serverPrior))
}
