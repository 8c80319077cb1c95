package retrybudget

import "testing"

func TestBudget(t *testing.T) {
	var b Budget
	if b.Allows() {
		t.Error("an empty budget allows a retry")
	}
	for range 11 {
		b.Earn()
	}
	if !b.Allows() {
		t.Error("eleven requests have earned no retry")
	}
	b.Take()
	if b.Allows() {
		t.Error("eleven requests have earned two retries")
	}
	for range 1000 {
		b.Earn()
	}
	if b != maxSaved {
		t.Errorf("a budget of %g retries, want %g", b, maxSaved)
	}
}
