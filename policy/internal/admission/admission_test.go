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
		"nothing seen yet: the even part":                {Traffic{0, 0, 400, 300}, 0, 1.0 / 300},
		"no reports: the part of the quotas":             {Traffic{0, 0, 400, 300}, 40, 0.1},
		"no reports, more than the quotas":               {Traffic{0, 0, 400, 300}, 800, 1},
		"no reports and no quotas":                       {Traffic{0, 0, 0, 4}, 5, 1},
		"reports, nothing own: a prior's part is left":   {Traffic{0, 980, 400, 10}, 400, 2.0 / 1000},
		"reports, a tenth is own":                        {Traffic{98, 980, 400, 10}, 0, 0.1},
		"few reports: mostly the even part":              {Traffic{10, 0, 400, 20}, 400, 11.0 / 20},
		"number of instances not known: taken to be one": {Traffic{0, 0, 400, 0}, 0, 1},
	} {
		if got := c.traffic.Share(c.perSecond); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}
