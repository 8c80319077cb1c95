package admission

import (
	"math"
	"testing"
)

func TestTrafficShare(t *testing.T) {
	for name, c := range map[string]struct {
		traffic         Traffic
		perSecond, want float64
	}{
		"no traffic, no reports: even share":          {Traffic{0, 0, 400, 300}, 0, 1.0 / 300},
		"no reports: fraction of the quotas":          {Traffic{0, 0, 400, 300}, 40, 0.1},
		"no reports, more than the quotas":            {Traffic{0, 0, 400, 300}, 800, 1},
		"no reports and no quotas":                    {Traffic{0, 0, 0, 4}, 5, 1},
		"reports, no own requests: the prior's share": {Traffic{0, 980, 400, 10}, 400, 2.0 / 1000},
		"reports, a tenth of the requests is own":     {Traffic{98, 980, 400, 10}, 0, 0.1},
		"few reports: mostly the even share":          {Traffic{10, 0, 400, 20}, 400, 11.0 / 20},
		"unknown number of instances: one assumed":    {Traffic{0, 0, 400, 0}, 0, 1},
	} {
		if got := c.traffic.Share(c.perSecond); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}

func TestLatencyMargin(t *testing.T) {
	for name, c := range map[string]struct {
		sparse      bool
		price, load float64
		want        float64
	}{
		"idle server":                         {false, 0.1, 0, idleMargin},
		"full server, wasted work is free":    {false, 0, 1, 1},
		"full server, wasted work costs":      {false, 0.1, 1, 1.85},
		"full server, sparse reports":         {true, 0.1, 1, 2.5},
		"half full server, wasted work costs": {false, 1, 0.5, idleMargin + fullMargin/2},
	} {
		if got := LatencyMargin(c.sparse, c.price, c.load); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}

func TestMaxStretch(t *testing.T) {
	if got := MaxStretch(false, 1); got != FullStretch {
		t.Errorf("%g for the highest value, want %g", got, FullStretch)
	}
	if got := MaxStretch(true, 1); got != sparseFullStretch {
		t.Errorf("%g for the highest value with sparse reports, want %g", got, sparseFullStretch)
	}
	if MaxStretch(false, 0.1) >= MaxStretch(false, 0.5) {
		t.Error("the limit is not lower for a lower value")
	}
}
