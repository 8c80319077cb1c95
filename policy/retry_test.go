package policy

import (
	"testing"
)

func TestRetriesFollowTheClass(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		status  Status
		retried bool
		final   ActionKind // if not retried
	}{
		{"idempotent after error", 0, Failed, true, 0},
		{"with a key after error", 1, Failed, true, 0},
		{"non-idempotent after error", 2, Failed, false, FailRequest},
		{"non-idempotent after reset", 2, Reset, false, FailRequest},
		{"non-idempotent after declined", 2, Declined, true, 0},
		{"non-idempotent after no connection", 2, ConnectFailed, true, 0},
	} {
		g := newRig(t, testConfig(), 6)
		g.balancer.retryBudget = 5
		first := find(g.arrive(1, c.class), StartAttempt)
		if first == nil {
			t.Fatalf("%s: not sent", c.name)
		}
		acts := g.endAttempt(1, 0, first.Server, c.status)
		next := find(acts, StartAttempt)
		if (next != nil) != c.retried {
			t.Errorf("%s: next attempt %v", c.name, next)
		}
		if next != nil && c.class == 1 && (next.Server-1)/2 != (first.Server-1)/2 {
			t.Errorf("%s: retried in another cell: server %d, then %d", c.name, first.Server, next.Server)
		}
		if !c.retried && find(acts, c.final) == nil {
			t.Errorf("%s: final response missing in %v", c.name, acts)
		}
	}
}

func TestRetryEndsWithTheKeyWindow(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	g.balancer.retryBudget = 5
	first := find(g.arrive(1, 1), StartAttempt)
	g.now += 595
	acts := g.endAttempt(1, 0, first.Server, Failed)
	if find(acts, StartAttempt) != nil || find(acts, FailRequest) == nil {
		t.Errorf("after the window: %v", acts)
	}
}
