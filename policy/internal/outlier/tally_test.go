package outlier

import (
	"math"
	"testing"
)

func TestOneFailureIsNotEnough(t *testing.T) {
	var tally Tally
	if got := tally.FailureRate(1000); got != 0 {
		t.Errorf("%g before any outcome", got)
	}
	tally.AddFailure(1000, 1)
	if got := tally.FailureRate(1000); got >= 0.5 {
		t.Errorf("%g after one failure", got)
	}
	for range 5 {
		tally.AddFailure(1000, 1)
	}
	failing := tally.FailureRate(1000)
	if failing <= 0.5 {
		t.Errorf("%g after six failures", failing)
	}
	tally.AddSuccess(1000)
	if got := tally.FailureRate(1000); got >= failing {
		t.Errorf("%g after a success, was %g", got, failing)
	}
}

func TestOutcomesDecay(t *testing.T) {
	tally := Tally{Successes: 4, Failures: 8, At: 1000}
	tally.FailureRate(1000 + HalfLife)
	if math.Abs(tally.Failures-4) > 1e-9 || math.Abs(tally.Successes-2) > 1e-9 {
		t.Errorf("%+v after a half-life", tally)
	}
}

func TestOutcomesByTenant(t *testing.T) {
	outcomes := make(ByTenant, 3)
	outcomes.AddFailure(0, 2, 1)
	outcomes.AddFailure(0, AllTenants, 1)
	outcomes.AddSuccess(0, 1)
	if outcomes[AllTenants].Failures != 2*successFailureDecay || outcomes[AllTenants].Successes != 1 {
		t.Errorf("%+v of all", outcomes[AllTenants])
	}
	if outcomes.FailureRate(0, 1) != 0 || outcomes.FailureRate(0, 2) == 0 {
		t.Errorf("%+v", outcomes)
	}
}

func TestIsUnresponsive(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight      int
		noResponseFor float64
		want          bool
	}{
		"nothing in flight":         {0, 1e6, false},
		"one attempt, short time":   {1, 500, false},
		"one attempt, long time":    {1, 601, true},
		"many attempts, short time": {10, 150, false},
		"many attempts, long time":  {10, 201, true},
	} {
		if got := IsUnresponsive(c.inFlight, c.noResponseFor, 100); got != c.want {
			t.Errorf("%s: unresponsive %t", name, got)
		}
	}
}
