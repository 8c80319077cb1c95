package stats

import (
	"math"
	"testing"
)

func TestRateFollowsEvents(t *testing.T) {
	var r Rate
	for now := 0.0; now < 20e3; now += 10 {
		r.Add(now)
	}
	if got := r.PerMs(20e3); math.Abs(got-0.1) > 0.001 {
		t.Errorf("%g per ms, want 0.1", got)
	}
	if got := r.PerMs(20e3 + rateDecayTime); math.Abs(got-0.1/math.E) > 0.001 {
		t.Errorf("%g per ms after the decay time without events", got)
	}
}

func TestSuccessRate(t *testing.T) {
	rate := SuccessRate(1)
	rate.Add(false)
	if math.Abs(float64(rate)-0.9) > 1e-9 {
		t.Errorf("%g after a failure", rate)
	}
	for range 100 {
		rate.Add(true)
	}
	if rate < 0.99 || rate > 1+1e-9 {
		t.Errorf("%g after many successes", rate)
	}
}

func TestQuantile(t *testing.T) {
	for name, c := range map[string]struct {
		quantile float64
		values   []float64
		want     float64
	}{
		"no values":            {0.5, nil, 7},
		"one value":            {0.5, []float64{3}, 3},
		"median":               {0.5, []float64{5, 1, 3}, 3},
		"median of two, lower": {0.5, []float64{5, 1}, 1},
		"highest":              {1, []float64{5, 1, 3}, 5},
	} {
		if got := Quantile(c.quantile, c.values, 7); got != c.want {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}

func TestWindowKeepsTheNewest(t *testing.T) {
	var w Window
	for _, sample := range []float64{9, 3, 1, 2} {
		w.Add(sample, 3)
	}
	if w.Len() != 3 || w.Quantile(1) != 3 {
		t.Errorf("%d samples, the highest %g", w.Len(), w.Quantile(1))
	}
	w.Add(1, 3) // Quantile must not have changed their order
	if w.Quantile(1) != 2 {
		t.Errorf("the highest is %g, want 2: 3 was the oldest", w.Quantile(1))
	}
}
