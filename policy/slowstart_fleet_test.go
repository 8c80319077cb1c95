package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// startingServerFleet simulates instances that share traffic. All get the list update about a starting server at the same time.
type startingServerFleet struct {
	instances, servers int
	skewed             bool    // the shares of the instances are log-normal instead of equal
	burst              float64 // factor by which the traffic grows when the server starts
	requestsPerSecond  float64 // per server: its capacity when warm
	quietTime          Ms      // time after the server's start during which there is a tenth of the traffic
}

// simulate returns the times of the requests sent to the starting server, and the highest number of them in an OverloadWindow
// as a fraction of the number that overloads it.
func (c startingServerFleet) simulate(t *testing.T, cfg Config, seed uint64) (sent []Ms, worst float64) {
	rng := rand.New(rand.NewPCG(seed, 0x636f6c64))
	fleet, cumulative, sum := make([]*rig, c.instances), make([]float64, c.instances), 0.0
	for i := range fleet {
		b, err := New(cfg, seed<<32+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &rig{test: t, balancer: b, now: 1000}
		list := readyServers(c.servers)
		fleet[i].do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		weight := 1.0
		if c.skewed {
			weight = math.Exp(rng.NormFloat64())
		}
		sum += weight
		cumulative[i] = sum
	}
	const startedAt, duration = 6000.0, 8000.0
	started := false
	perMs := c.requestsPerSecond / 1000 * float64(c.servers)
	for n, now := 0, 1000.0; now < startedAt+duration; n++ {
		rate := perMs
		switch {
		case c.quietTime > 0 && now < startedAt+c.quietTime:
			rate /= 10
		case started:
			rate *= c.burst
		}
		if now += rng.ExpFloat64() / rate; now >= startedAt && !started {
			started, now = true, startedAt
			for _, g := range fleet {
				g.now = now
				g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: startedAt}}})
			}
		}
		i, at := 0, rng.Float64()*sum
		for lo, hi := 0, c.instances-1; lo <= hi; {
			if mid := (lo + hi) / 2; cumulative[mid] > at {
				i, hi = mid, mid-1
			} else {
				lo = mid + 1
			}
		}
		g := fleet[i]
		g.now = now
		if g.serve(RequestID(n)) == 1 && started {
			sent = append(sent, now)
		}
	}
	for i, at := range sent {
		in := 0
		for _, later := range sent[i:] {
			if later < at+cfg.OverloadWindow {
				in++
			}
		}
		fraction := cfg.StartCapacity + (1-cfg.StartCapacity)*(at-startedAt)/cfg.WarmUpTime
		bears := cfg.OverloadMultiple * fraction * c.requestsPerSecond / 1000 * cfg.OverloadWindow
		worst = max(worst, float64(in)/(bears+2*math.Sqrt(bears)+2))
	}
	return sent, worst
}

// All instances together must not overload a starting server. The limit is N + 2*sqrt(N) + 2 requests per OverloadWindow,
// where N is OverloadMultiple times its capacity at the start of the window. It holds for few and many instances, equal and
// skewed shares, high and low traffic, and a burst.
func TestStartingServerIsNotOverloadedByAllInstances(t *testing.T) {
	cfg := testConfig()
	cfg.ProbeCost, cfg.OverloadWindow, cfg.Round, cfg.WarmUpTime = 0.08, 3000, 1, 8000
	for _, each := range []float64{2, 15} {
		for _, size := range [][2]int{{4, 30}, {20, 13}, {30, 20}, {300, 60}, {2000, 60}, {6000, 60}} {
			for _, skewed := range []bool{false, true} {
				for _, traffic := range []struct {
					burst     float64
					quietTime Ms
					overload  float64 // OverloadMultiple
					instances int     // largest number of instances for which this traffic is tested
				}{{1, 0, 4, 6000}, {2, 0, 4, 6000}, {2, 1000, 4, 2000}, {2, 4000, 4, 2000}, {1.5, 0, 2, 2000}, {1.5, 4000, 2, 300}} {
					if size[0] > traffic.instances || size[0] > 300 && each > 2 { // large fleets with high traffic take long to simulate
						continue
					}
					name := fmt.Sprintf("%d instances, skewed %t, %g per second, burst %g after %g ms, %g times", size[0], skewed, each,
						traffic.burst, traffic.quietTime, traffic.overload)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						cfg := cfg
						cfg.Instances, cfg.OverloadMultiple = size[0], traffic.overload
						seeds, worstOverall, got := uint64(3), 0.0, 0
						if size[0] > 300 { // large fleets take longer to simulate, and the sum of their requests varies less
							seeds = 1
						}
						for seed := range seeds {
							sent, worst := startingServerFleet{size[0], size[1], skewed, traffic.burst, each, traffic.quietTime}.simulate(t, cfg, seed)
							worstOverall, got = max(worstOverall, worst), got+len(sent)
						}
						warmRequests := each * (traffic.burst*(8-traffic.quietTime/1000) + traffic.quietTime/10000)
						t.Logf("%.2f of the overload limit, %.2f of what a warm server gets", worstOverall, float64(got)/float64(seeds)/warmRequests)
						if worstOverall > 1 {
							t.Errorf("%.2f of the overload limit", worstOverall)
						}
					})
				}
			}
		}
	}
}
