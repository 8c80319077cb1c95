package policy

import "testing"

// A rejection without Retry-After, or with a longer one than clients follow, would make all clients retry at once.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		fleetLatency Ms
		overQuota    bool
		want         Ms
	}{
		"median service time":        {300, false, 300},
		"no service time known yet":  {0, false, priorServiceTime},
		"slower than clients follow": {9000, false, 1200},
		"beyond the tenant's quota":  {300, true, 1200},
	} {
		b := Balancer{cfg: Config{MaxRetryAfter: 1200}, fleetLatency: c.fleetLatency}
		if got := b.retryAfter(&request{overQuota: c.overQuota}); got != c.want {
			t.Errorf("%s: %g ms, want %g", name, got, c.want)
		}
	}
}
