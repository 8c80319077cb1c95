package slowstart

import (
	"math"
	"testing"
)

func TestFraction(t *testing.T) {
	for name, c := range map[string]struct {
		age        float64
		startKnown bool
		warmUp     float64
		want       float64
	}{
		"start not known": {0, false, 8000, 1},
		"no warm-up":      {0, true, 0, 1},
		"just started":    {0, true, 8000, 0.2},
		"starts later":    {-100, true, 8000, 0.2},
		"half-way":        {4000, true, 8000, 0.6},
		"warm":            {9000, true, 8000, 1},
	} {
		if got := Fraction(c.age, c.startKnown, 0.2, c.warmUp); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}

func TestRate(t *testing.T) {
	for name, c := range map[string]struct {
		hasCapacity    bool
		sent, arriving float64
		want           float64
	}{
		"no report":                              {false, 1, 1, 0.2 * 4 * unreportedFraction},
		"reports capacity":                       {true, 1, 1, 0.2 * 4 * reportedFraction},
		"all servers starting, no report":        {false, 0, 1, 0.2 * 4 * unreportedFraction * allStartingFraction},
		"all servers starting, reports capacity": {true, 0, 1, 0.2 * 4 * reportedFraction},
	} {
		if got := Rate(0.2, 4, c.hasCapacity, c.sent, c.arriving); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
	if got := Rate(1, 4, false, 2, 2); got != 2 {
		t.Errorf("a warm server's rate is %g, want 2", got)
	}
}
