package backoff

import (
	"math"
	"testing"
)

func TestWait(t *testing.T) {
	p := Policy{First: 50, Max: 1000, Factor: 2, Jitter: 0.5}
	for name, c := range map[string]struct {
		nth          int
		random, want float64
	}{
		"negative counts as first": {-1, 0, 50},
		"none counts as first":     {0, 0, 50},
		"first":                    {1, 0, 50},
		"second":                   {2, 0, 100},
		"last below the bound":     {5, 0, 800},
		"first at the bound":       {6, 0, 1000},
		"far beyond the bound":     {math.MaxInt, 0, 1000},
		"first, jittered":          {1, 0.5, 37.5},
		"at the bound, jittered":   {6, 0.9, 550},
	} {
		if got := p.Wait(c.nth, c.random); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}
