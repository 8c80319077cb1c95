package policy

import "testing"

// A refusal without advice, or with one beyond what clients follow, would bring all clients back at once.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		fleetLatency Ms
		overQuota    bool
		want         Ms
	}{
		"by the time the work in hand has left": {300, false, 300},
		"no service time known yet":             {0, false, priorServiceTime},
		"slower than clients follow":            {9000, false, 1200},
		"beyond the tenant's quota":             {300, true, 1200},
	} {
		b := Balancer{cfg: Config{MaxRetryAfter: 1200}, fleetLatency: c.fleetLatency}
		if got := b.retryAfter(&request{overQuota: c.overQuota}); got != c.want {
			t.Errorf("%s: %g ms, want %g", name, got, c.want)
		}
	}
}
