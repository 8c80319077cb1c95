package probing

import (
	"math"
	"testing"
)

// All instances together must not send a server more probes than their cost allows. Each instance has one request per 60 ms.
func TestProbesAtAServer(t *testing.T) {
	const rate = 1.0 / 60
	for name, c := range map[string]struct {
		price              float64
		instances, servers int
		maxPerSecond       float64 // expected probes at one server, from all instances
	}{
		"costly, one instance":                    {0.08, 1, 60, 0.15},
		"costly, few instances":                   {0.08, 4, 60, 0.57},
		"costly, 80 instances":                    {0.08, 80, 60, 11.2},
		"costly, 2,000 instances":                 {0.08, 2000, 60, 280},
		"costly, 200 servers":                     {0.08, 300, 200, 12.6},
		"costly, 200 servers and 5,000 instances": {0.08, 5000, 200, 210},
		"cheap, one instance":                     {0.0046, 1, 60, 0.6},
		"cheap, 80 instances":                     {0.0046, 80, 60, 45},
		"free, 80 instances: as many as if cheap": {0, 80, 60, 45},
	} {
		each := PerRequest(c.price, c.servers, rate)
		sum := float64(c.instances) * each * rate * 1000 / float64(c.servers)
		if sum > c.maxPerSecond || sum < 0.9*c.maxPerSecond {
			t.Errorf("%s: %.2f probes per second at each server, want %.2f", name, sum, c.maxPerSecond)
		}
	}
}

// A busy instance probes a server on average at most once per MinInterval, whatever a probe costs.
func TestProbesOfABusyInstance(t *testing.T) {
	for _, perMs := range []float64{0.1, 1, 100} {
		for _, price := range []float64{0, 0.0046, 0.08} {
			if each := PerRequest(price, 16, perMs); each*perMs > 16/MinInterval+1e-9 {
				t.Errorf("price %g, %g requests per ms: %g probes per request", price, perMs, each)
			}
		}
	}
}

// The more a probe costs, the fewer are sent: the total cost grows at most with the square root of the price.
func TestProbeRateFallsWithPrice(t *testing.T) {
	previous := math.Inf(1)
	for _, price := range []float64{0, 0.001, 0.0046, 0.01, 0.08, 0.3, 1} {
		each := PerRequest(price, 60, 0.001)
		if each > previous || each <= 0 {
			t.Errorf("price %g: %g probes per request after %g", price, each, previous)
		}
		if AreCostly(price) != (each < MaxPerRequest) {
			t.Errorf("price %g: %g probes per request, costly %t", price, each, AreCostly(price))
		}
		if each*price > math.Sqrt(oldReportCost*price)+1e-9 {
			t.Errorf("price %g: the probes of a request cost %g", price, each*price)
		}
		previous = each
	}
}

// A request that waits for probes sends at most PerWait of them; an urgent one always sends at least minPerWait.
func TestProbesToAwait(t *testing.T) {
	for name, c := range map[string]struct {
		saved           float64
		limited, urgent bool
		want            int
	}{
		"unlimited":                            {0, false, false, 4},
		"unlimited and urgent":                 {-9, false, true, 4},
		"less than one saved":                  {0.9, true, false, 0},
		"some saved":                           {3.5, true, false, 3},
		"more saved than a wait needs":         {10, true, false, 4},
		"in debt":                              {-9, true, false, 0},
		"in debt, urgent":                      {-9, true, true, 2},
		"some saved, urgent":                   {3.5, true, true, 3},
		"more saved than a wait needs, urgent": {10, true, true, 4},
	} {
		if got := ProbesToAwait(c.saved, c.limited, c.urgent); got != c.want {
			t.Errorf("%s: %d probes, want %d", name, got, c.want)
		}
	}
}
