package tokenbucket

import "testing"

func TestTake(t *testing.T) {
	b := Bucket{Value: 0.5, At: 1000}
	if b.Take(1100, 0.001, 2) {
		t.Error("0.6 tokens allow one to be taken")
	}
	if !b.Take(1500, 0.001, 2) {
		t.Error("a full token can't be taken")
	}
	if !b.Fill(100e3, 0.001, 2) || b.Value != 2 {
		t.Errorf("%g tokens after a long time, want 2", b.Value)
	}
}
