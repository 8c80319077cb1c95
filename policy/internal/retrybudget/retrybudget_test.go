package retrybudget

import "testing"

func TestBudget(t *testing.T) {
	var b Budget
	if b.Allows() {
		t.Error("an empty budget allows an attempt")
	}
	for range 11 {
		b.Earn()
	}
	if !b.Allows() {
		t.Error("eleven requests have earned no attempt")
	}
	b.Take()
	if b.Allows() {
		t.Error("eleven requests have earned two attempts")
	}
	for range 1000 {
		b.Earn()
	}
	if b != maxSaved {
		t.Errorf("%g attempts are saved up, want %g", b, maxSaved)
	}
}
