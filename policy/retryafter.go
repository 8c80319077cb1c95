package policy

// retryAfter returns how long the client of a rejected request should wait before a retry: the longest time that clients
// follow if the tenant is beyond its quota, else a median service time, by which most current requests have ended.
func (b *Balancer) retryAfter(r *request) Ms {
	if r.overQuota {
		return b.cfg.MaxRetryAfter
	}
	return min(b.cfg.MaxRetryAfter, max(b.fleetLatency, priorServiceTime))
}
