package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldFleet is instances that share requests and all learn of a cold server in the same moment.
type coldFleet struct {
	instances, servers int
	skewed             bool    // instances' parts of the requests are log-normal, else equal
	burst              float64 // times as many requests, from the cold server's start on
	eachPerS           float64 // requests a second for each server, as many as it bears when warm
	quiet              Ms      // until so long after the cold server's start there is a tenth of the requests
}

// play returns when the cold server got its requests, from its start on, and the most in an OverloadWindow over what overloads it.
func (c coldFleet) play(t *testing.T, cfg Config, seed uint64) (sent []Ms, worst float64) {
	rng := rand.New(rand.NewPCG(seed, 0x636f6c64))
	fleet, parts, sum := make([]*rig, c.instances), make([]float64, c.instances), 0.0
	for i := range fleet {
		b, err := New(cfg, seed<<32+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &rig{test: t, balancer: b, now: 1000}
		list := readyServers(c.servers)
		fleet[i].do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		part := 1.0
		if c.skewed {
			part = math.Exp(rng.NormFloat64())
		}
		sum += part
		parts[i] = sum
	}
	const born, lasts = 6000.0, 8000.0
	started := false
	perMs := c.eachPerS / 1000 * float64(c.servers)
	for n, now := 0, 1000.0; now < born+lasts; n++ {
		rate := perMs
		switch {
		case c.quiet > 0 && now < born+c.quiet:
			rate /= 10
		case started:
			rate *= c.burst
		}
		if now += rng.ExpFloat64() / rate; now >= born && !started {
			started, now = true, born
			for _, g := range fleet {
				g.now = now
				g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: born}}})
			}
		}
		i, at := 0, rng.Float64()*sum
		for lo, hi := 0, c.instances-1; lo <= hi; {
			if mid := (lo + hi) / 2; parts[mid] > at {
				i, hi = mid, mid-1
			} else {
				lo = mid + 1
			}
		}
		g := fleet[i]
		g.now = now
		if g.pass(RequestID(n)) == 1 && started {
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
		fraction := cfg.StartCapacity + (1-cfg.StartCapacity)*(at-born)/cfg.WarmUpTime
		bears := cfg.OverloadMultiple * fraction * c.eachPerS / 1000 * cfg.OverloadWindow
		worst = max(worst, float64(in)/(bears+2*math.Sqrt(bears)+2))
	}
	return sent, worst
}

// What all instances together send to a cold server stays below what overloads it: N and two roots of N and 2, N being
// OverloadMultiple times what it must bear by then; whether they are few or many, equal or not, quiet or busy, and under a burst.
func TestColdServerIsNotOverloadedByAllInstances(t *testing.T) {
	cfg := testConfig()
	cfg.ProbeCost, cfg.OverloadWindow, cfg.Round, cfg.WarmUpTime = 0.08, 3000, 1, 8000
	for _, each := range []float64{2, 15} {
		for _, size := range [][2]int{{4, 30}, {20, 13}, {30, 20}, {300, 60}, {2000, 60}, {6000, 60}} {
			for _, skewed := range []bool{false, true} {
				for _, way := range []struct {
					burst     float64
					quiet     Ms
					overload  float64 // multiple of what the server bears
					instances int     // at most
				}{{1, 0, 4, 6000}, {2, 0, 4, 6000}, {2, 1000, 4, 2000}, {2, 4000, 4, 2000}, {1.5, 0, 2, 2000}, {1.5, 4000, 2, 300}} {
					if size[0] > way.instances || size[0] > 300 && each > 2 { // busy fleets of that size take long
						continue
					}
					name := fmt.Sprintf("%d instances, skewed %t, %g a second, burst %g after %g ms, %g times", size[0], skewed, each,
						way.burst, way.quiet, way.overload)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						cfg := cfg
						cfg.Instances, cfg.OverloadMultiple = size[0], way.overload
						seeds, worstOverall, got := uint64(3), 0.0, 0
						if size[0] > 300 { // these take longer, and their sum varies less
							seeds = 1
						}
						for seed := range seeds {
							sent, worst := coldFleet{size[0], size[1], skewed, way.burst, each, way.quiet}.play(t, cfg, seed)
							worstOverall, got = max(worstOverall, worst), got+len(sent)
						}
						part := each * (way.burst*(8-way.quiet/1000) + way.quiet/10000)
						t.Logf("%.2f of what overloads it, %.2f of a warm one's part", worstOverall, float64(got)/float64(seeds)/part)
						if worstOverall > 1 {
							t.Errorf("%.2f of what overloads it", worstOverall)
						}
					})
				}
			}
		}
	}
}
