package policy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A refusal without advice, or with one beyond what clients follow, would bring them all back at once.
func TestRetryAfter(t *testing.T) {
	got := map[string]Ms{}
	for name, c := range map[string]struct {
		service Ms
		over    bool
	}{
		"by the time the work in hand has left": {service: 300},
		"nothing is known yet":                  {service: 0},
		"slower than clients follow":            {service: 9000},
		"beyond the tenant's share":             {service: 300, over: true},
	} {
		b := Balancer{cfg: Config{MaxRetryAfter: 1200}, fleetLatency: c.service}
		got[name] = b.retryAfter(&request{overQuota: c.over})
	}
	want := map[string]Ms{
		"by the time the work in hand has left": 300, "nothing is known yet": priorServiceTime,
		"slower than clients follow": 1200, "beyond the tenant's share": 1200,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
