package overload

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation simulates the attempts of one instance and passes them to a Gauge.
type simulation struct {
	gauge       Gauge
	rng         *rand.Rand
	now         float64
	lastRequest uint32
	ends        map[uint32]float64 // when the attempts in flight will end, by request
	target      float64            // latency target in ms
}

func newSimulation(target float64) *simulation {
	return &simulation{gauge: NewGauge([]float64{target}), rng: rand.New(rand.NewPCG(7, 0)), ends: map[uint32]float64{}, target: target}
}

// run simulates until the given time. perMs is the rate of requests, baseline their median duration at servers with free
// capacity, stretch the factor by which they are slower, and hungFraction the fraction of attempts that time out after 5 s. It
// returns the average fraction of requests that the gauge would reject.
func (s *simulation) run(until, perMs, baseline, stretch, hungFraction float64) (fraction float64) {
	updates := 0.0
	for ; s.now < until; s.now += 50 {
		for n := perMs * 50; n > 0; n-- {
			if n < 1 && s.rng.Float64() > n {
				break
			}
			took := baseline * stretch * math.Exp(0.6*s.rng.NormFloat64())
			if s.rng.Float64() < hungFraction {
				took = 5000
			}
			s.lastRequest++
			s.gauge.AttemptStarted(s.now, s.lastRequest, 0, 1)
			s.ends[s.lastRequest] = s.now + took
		}
		for _, id := range slices.Sorted(maps.Keys(s.ends)) {
			if at := s.ends[id]; at <= s.now {
				s.gauge.AttemptEnded(at, id, true)
				delete(s.ends, id)
			}
		}
		s.gauge.Update(s.now, s.target)
		updates++
		fraction += s.gauge.rejectedFraction
	}
	return fraction / updates
}

// One of many instances detects an overload of all servers by the durations of its own attempts, and does not mistake the
// failure of some servers for an overload.
func TestGaugeDetectsOverloadByOwnAttempts(t *testing.T) {
	for _, perMs := range []float64{0.008, 0.04, 1} { // about that of one of 6,000 instances, and of one of 4 at the same total
		s := newSimulation(500)
		if fraction := s.run(60e3, perMs, 200, 1, 0); fraction > 0.001 {
			t.Errorf("%g per ms: %.3f are rejected while servers are free", perMs, fraction)
		}
		if fraction := s.run(120e3, perMs, 200, 1, 0.12); fraction > 0.01 {
			t.Errorf("%g per ms: %.3f are rejected while some servers are gone", perMs, fraction)
		}
		s.run(124e3, perMs, 200, 1, 0)
		s.run(127e3, perMs, 200, 4, 0)
		if fraction := s.run(140e3, perMs, 200, 4, 0); fraction < 0.85 {
			t.Errorf("%g per ms: %.3f are rejected, all four times slower", perMs, fraction)
		}
		s.run(145e3, perMs, 200, 1, 0)
		if fraction := s.run(160e3, perMs, 200, 1, 0); fraction > 0.001 {
			t.Errorf("%g per ms: %.3f are rejected after that", perMs, fraction)
		}
	}
}

// Attempts in flight count by their age, so that an overload is detected before they end.
func TestGaugeDoesNotWaitForSlowResponses(t *testing.T) {
	s := newSimulation(500)
	s.run(10e3, 0.02, 200, 1, 0)
	for s.gauge.rejectedFraction < 0.5 && s.now < 20e3 {
		s.run(s.now+50, 0.02, 200, 1, 1)
	}
	if s.now > 13e3 {
		t.Errorf("detected %.0f ms after the first", s.now-10e3)
	}
}

// An instance that starts during an overload has no baseline to compare with, and must detect the overload by its latency
// target.
func TestGaugeStartedDuringAnOverload(t *testing.T) {
	s := newSimulation(500)
	s.run(3e3, 0.04, 200, 12, 0)
	if fraction := s.run(8e3, 0.04, 200, 12, 0); fraction < 0.85 {
		t.Errorf("%.3f are rejected", fraction)
	}
}

// An instance with few requests rejects almost none while responses are as fast as usual. With at least three requests in five
// seconds it takes part in shedding an overload, since many such instances together could keep servers overloaded. With fewer,
// or without any for some seconds, it can't detect an overload and rejects none.
func TestGaugeAtALowRate(t *testing.T) {
	for name, c := range map[string]struct{ perMs, stretch, minPart, maxPart float64 }{
		"one in two seconds, free":       {0.0005, 1, 0, 0.1},
		"one per second, free":           {0.001, 1, 0, 0.03},
		"one per second, overloaded":     {0.001, 4, 0.6, 1},
		"one in ten seconds, overloaded": {0.0001, 4, 0, 0},
	} {
		s := newSimulation(500)
		s.run(10e3, c.perMs, 200, 1, 0)
		if fraction := s.run(60e3, c.perMs, 200, c.stretch, 0); fraction < c.minPart || fraction > c.maxPart {
			t.Errorf("%s: %.3f are rejected", name, fraction)
		}
	}
	s := newSimulation(500)
	s.run(10e3, 0.04, 200, 1, 0)
	s.run(15e3, 0.04, 200, 5, 0)
	s.run(28e3, 0, 200, 1, 0)
	if fraction := s.run(35e3, 0, 200, 1, 0); fraction > 0 {
		t.Errorf("%.3f are rejected some seconds after the last request", fraction)
	}
}

// A latency target that is not much longer than durations at servers with free capacity does not show an overload.
func TestGaugeWithATightTarget(t *testing.T) {
	s := newSimulation(300)
	s.run(5e3, 0.04, 200, 1, 0)
	if fraction := s.run(60e3, 0.04, 200, 1, 0); fraction > 0.005 {
		t.Errorf("%.3f are rejected while servers are free", fraction)
	}
	s.run(62e3, 0.04, 200, 4, 0)
	if fraction := s.run(70e3, 0.04, 200, 4, 0); fraction < 0.85 {
		t.Errorf("%.3f are rejected, all four times slower", fraction)
	}
}

// Attempts without a response for a long time do not hide that later ones are as fast as usual: each counts once, by its start.
func TestGaugeForgetsUnansweredAttempts(t *testing.T) {
	s := newSimulation(500)
	s.run(10e3, 0.02, 200, 1, 0)
	for s.now < 11e3 { // all attempts of one second take 20 s
		s.run(s.now+50, 0, 200, 1, 0)
		s.lastRequest++
		s.gauge.AttemptStarted(s.now, s.lastRequest, 0, 1)
		s.ends[s.lastRequest] = s.now + 20e3
	}
	s.run(15e3, 0.02, 200, 1, 0)
	if fraction := s.run(20e3, 0.02, 200, 1, 0); fraction > 0.02 {
		t.Errorf("%.3f are rejected because of attempts without a response for ten seconds", fraction)
	}
}

// After a reload with fewer classes, the end of an attempt of a removed class is ignored.
func TestGaugeReconfigured(t *testing.T) {
	g := NewGauge([]float64{500, 300})
	g.AttemptStarted(100, 1, 1, 1)
	g.Reconfigure(NewGauge([]float64{500}), []int{0})
	g.AttemptEnded(300, 1, true)
	g.Update(400, 500)
	if len(g.classes) != 1 || g.Stretch() != 1 {
		t.Errorf("%d classes, stretch %g", len(g.classes), g.Stretch())
	}
}

// Requests may take longer than maxRecentAge. An overload must be detected from these as well, at high and low rates.
func TestGaugeWithLongRequests(t *testing.T) {
	for _, perMs := range []float64{0.001, 0.02} {
		s := newSimulation(20e3)
		s.run(60e3, perMs, 5000, 1, 0)
		if fraction := s.run(200e3, perMs, 5000, 1, 0); fraction > 0.03 {
			t.Errorf("%g per ms: %.3f are rejected while servers are free", perMs, fraction)
		}
		s.run(230e3, perMs, 5000, 4, 0)
		if fraction := s.run(280e3, perMs, 5000, 4, 0); fraction < 0.85 {
			t.Errorf("%g per ms: %.3f are rejected, all four times slower", perMs, fraction)
		}
	}
}
