package backoff

import (
	"math"
	"testing"
)

func TestWait(t *testing.T) {
	p := Policy{First: 50, Most: 1000, Factor: 2, Jitter: 0.5}
	for _, c := range []struct {
		nth          int
		random, want float64
	}{
		{-1, 0, 50},
		{0, 0, 50},
		{1, 0, 50},
		{2, 0, 100},
		{5, 0, 800},
		{6, 0, 1000},
		{math.MaxInt, 0, 1000},
		{1, 0.5, 37.5},
		{6, 0.9, 550},
	} {
		if got := p.Wait(c.nth, c.random); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("wait %d with %g: %g, want %g", c.nth, c.random, got, c.want)
		}
	}
}
