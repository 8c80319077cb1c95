package limit

import (
	"math"
	"testing"
)

// What all instances together send to one server, which the platform's prices and one request in 60 ms from each stand for.
func TestProbesAtAServer(t *testing.T) {
	const rate = 1.0 / 60
	for _, c := range []struct {
		price              float64
		instances, servers int
		most               float64 // probes a second at one server
	}{
		{0.08, 1, 60, 0.15},
		{0.08, 4, 60, 0.57},
		{0.08, 80, 60, 11.2},
		{0.08, 2000, 60, 280},
		{0.08, 300, 200, 12.6},
		{0.08, 5000, 200, 210},
		{0.0046, 1, 60, 0.6},
		{0.0046, 80, 60, 45},
		{0, 80, 60, 45}, // cheap ones: as the design would
	} {
		each := ProbesPerRequest(c.price, c.servers, rate)
		if sum := float64(c.instances) * each * rate * 1000 / float64(c.servers); sum > c.most || sum < 0.9*c.most {
			t.Errorf("price %g, %d instances: %.2f probes a second at each server, want %.2f", c.price, c.instances, sum, c.most)
		}
	}
}

// A busy instance probes no server more often than news of it is worth, whatever a probe costs.
func TestProbesOfABusyInstance(t *testing.T) {
	for _, perMs := range []float64{0.1, 1, 100} {
		for _, price := range []float64{0, 0.0046, 0.08} {
			if each := ProbesPerRequest(price, 16, perMs); each*perMs > 16/MinProbeInterval+1e-9 {
				t.Errorf("price %g, %g requests a ms: %g probes a request", price, perMs, each)
			}
		}
	}
}

// The more a probe costs the fewer are sent, so that what is paid for them grows no faster than the root of the price.
func TestProbesFollowTheirPrice(t *testing.T) {
	was := math.Inf(1)
	for _, price := range []float64{0, 0.001, 0.0046, 0.01, 0.08, 0.3, 1} {
		each := ProbesPerRequest(price, 60, 0.001)
		if each > was || each <= 0 || AreCostly(price) != (each < MaxProbesPerRequest) || each*price > math.Sqrt(missingNewsCost*price)+1e-9 {
			t.Errorf("price %g: %g probes a request after %g, dear %t", price, each, was, AreCostly(price))
		}
		was = each
	}
}

func TestReach(t *testing.T) {
	for _, c := range []struct{ servers, instances, want int }{
		{60, 0, 60}, {60, 1, 60}, {60, 4, 60}, {60, 80, 60}, {60, 2000, 4}, {200, 300, 85}, {200, 2000, 12}, {200, 5000, 5}, {3, 2000, 3}, {0, 80, 0},
	} {
		if got := SubsetSize(c.servers, c.instances); got != c.want {
			t.Errorf("%d servers, %d instances: %d, want %d", c.servers, c.instances, got, c.want)
		}
	}
}

// What requests that can't do without news cost at most, whatever is saved up.
func TestAwaited(t *testing.T) {
	for _, c := range []struct {
		saved       float64
		dear, blind bool
		want        int
	}{
		{0, false, false, 4},
		{-9, false, true, 4},
		{0.9, true, false, 0},
		{3.5, true, false, 3},
		{10, true, false, 4},
		{-9, true, false, 0},
		{-9, true, true, 2},
		{3.5, true, true, 3},
		{10, true, true, 4},
	} {
		if got := ProbesToAwait(c.saved, c.dear, c.blind); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// What part of the traffic an instance takes for its own: by what servers hold, as soon as one has told; else by its own
// requests over the quotas, and never less than one of so many instances has.
func TestPartOfTheTraffic(t *testing.T) {
	for _, c := range []struct {
		own, all, perSecond, quotas float64
		instances                   int
		want                        float64
	}{
		{0, 0, 0, 400, 300, 1.0 / 300},
		{0, 0, 40, 400, 300, 0.1},
		{0, 0, 800, 400, 300, 1},
		{0, 0, 5, 0, 4, 1},
		{0, 980, 400, 400, 10, 2.0 / 1000},
		{98, 980, 0, 400, 10, 0.1},
		{10, 0, 400, 400, 20, 11.0 / 20},
		{0, 0, 0, 400, 0, 1},
	} {
		if got := TrafficShare(c.own, c.all, c.perSecond, c.quotas, c.instances); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %g", c, got)
		}
	}
}
