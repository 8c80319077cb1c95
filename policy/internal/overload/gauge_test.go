package overload

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation plays the answers of one instance.
type simulation struct {
	gauge       Gauge
	rng         *rand.Rand
	now         float64
	lastRequest uint32
	ends        map[uint32]float64 // of the attempts that are out
	left        float64
}

func newSimulation(left float64) *simulation {
	return &simulation{gauge: NewGauge([]float64{left}), rng: rand.New(rand.NewPCG(7, 0)), ends: map[uint32]float64{}, left: left}
}

// run plays until that time; hungFraction is the part of the attempts that are given up after 5 s. It returns the part that the gauge
// would refuse, on average.
func (w *simulation) run(until, perMs, baseline, stretch, hungFraction float64) (part float64) {
	looks := 0.0
	for ; w.now < until; w.now += 50 {
		for n := perMs * 50; n > 0; n-- {
			if n < 1 && w.rng.Float64() > n {
				break
			}
			took := baseline * stretch * math.Exp(0.6*w.rng.NormFloat64())
			if w.rng.Float64() < hungFraction {
				took = 5000
			}
			w.lastRequest++
			w.gauge.AttemptStarted(w.now, w.lastRequest, 0, 1)
			w.ends[w.lastRequest] = w.now + took
		}
		for _, id := range slices.Sorted(maps.Keys(w.ends)) {
			if at := w.ends[id]; at <= w.now {
				w.gauge.AttemptEnded(at, id, true)
				delete(w.ends, id)
			}
		}
		w.gauge.Update(w.now, w.left)
		looks++
		part += w.gauge.rejectedFraction
	}
	return part / looks
}

// One instance of many sees by itself an overload that all servers share, so that no server stands out; it takes a part of the
// servers that is gone for none.
func TestGaugeSeesOverloadInOwnAnswers(t *testing.T) {
	for _, perMs := range []float64{0.008, 0.04, 1} { // of one in 6,000 and of one in 4 at the same traffic, about
		w := newSimulation(500)
		if part := w.run(60e3, perMs, 200, 1, 0); part > 0.001 {
			t.Errorf("%g a ms: %.3f are refused while servers are free", perMs, part)
		}
		if part := w.run(120e3, perMs, 200, 1, 0.12); part > 0.01 {
			t.Errorf("%g a ms: %.3f are refused, a part of the servers gone", perMs, part)
		}
		w.run(124e3, perMs, 200, 1, 0)
		w.run(127e3, perMs, 200, 4, 0)
		if part := w.run(140e3, perMs, 200, 4, 0); part < 0.85 {
			t.Errorf("%g a ms: %.3f are refused, all four times slower", perMs, part)
		}
		w.run(145e3, perMs, 200, 1, 0)
		if part := w.run(160e3, perMs, 200, 1, 0); part > 0.001 {
			t.Errorf("%g a ms: %.3f are refused after that", perMs, part)
		}
	}
}

// Answers that hang are seen without waiting for them.
func TestGaugeDoesNotWaitForSlowAnswers(t *testing.T) {
	w := newSimulation(500)
	w.run(10e3, 0.02, 200, 1, 0)
	for w.gauge.rejectedFraction < 0.5 && w.now < 20e3 {
		w.run(w.now+50, 0.02, 200, 1, 1)
	}
	if w.now > 13e3 {
		t.Errorf("seen %.0f ms after the first", w.now-10e3)
	}
}

// A process that starts in the middle of an overload has seen nothing else: only its latency target shows what this is.
func TestGaugeThatStartsInAnOverload(t *testing.T) {
	w := newSimulation(500)
	w.run(3e3, 0.04, 200, 12, 0)
	if part := w.run(8e3, 0.04, 200, 12, 0); part < 0.85 {
		t.Errorf("%.3f are refused", part)
	}
}

// A quiet instance refuses next to nothing while answers are as usual. With three in five seconds it takes part in what all have to
// refuse, since many quiet ones together would keep servers overloaded; with fewer it knows nothing, and neither does one that
// has been quiet for some seconds.
func TestGaugeOfAQuietInstance(t *testing.T) {
	for name, c := range map[string]struct{ perMs, stretch, minPart, maxPart float64 }{
		"one in two seconds, free":       {0.0005, 1, 0, 0.1},
		"one a second, free":             {0.001, 1, 0, 0.03},
		"one a second, overloaded":       {0.001, 4, 0.6, 1},
		"one in ten seconds, overloaded": {0.0001, 4, 0, 0},
	} {
		w := newSimulation(500)
		w.run(10e3, c.perMs, 200, 1, 0)
		if part := w.run(60e3, c.perMs, 200, c.stretch, 0); part < c.minPart || part > c.maxPart {
			t.Errorf("%s: %.3f are refused", name, part)
		}
	}
	w := newSimulation(500)
	w.run(10e3, 0.04, 200, 1, 0)
	w.run(15e3, 0.04, 200, 5, 0)
	w.run(28e3, 0, 200, 1, 0)
	if part := w.run(35e3, 0, 200, 1, 0); part > 0 {
		t.Errorf("%.3f are refused after it fell quiet", part)
	}
}

// A latency target that leaves little more than answers take at free servers is no overload.
func TestGaugeWithATightTarget(t *testing.T) {
	w := newSimulation(300)
	w.run(5e3, 0.04, 200, 1, 0)
	if part := w.run(60e3, 0.04, 200, 1, 0); part > 0.005 {
		t.Errorf("%.3f are refused while servers are free", part)
	}
	w.run(62e3, 0.04, 200, 4, 0)
	if part := w.run(70e3, 0.04, 200, 4, 0); part < 0.85 {
		t.Errorf("%.3f are refused, all four times slower", part)
	}
}

// Attempts that wait at overloaded servers do not hide that others answer as usual: each counts once, by its start.
func TestGaugeForgetsUnansweredAttempts(t *testing.T) {
	w := newSimulation(500)
	w.run(10e3, 0.02, 200, 1, 0)
	for w.now < 11e3 { // all of one second hang for 20 s
		w.run(w.now+50, 0, 200, 1, 0)
		w.lastRequest++
		w.gauge.AttemptStarted(w.now, w.lastRequest, 0, 1)
		w.ends[w.lastRequest] = w.now + 20e3
	}
	w.run(15e3, 0.02, 200, 1, 0)
	if part := w.run(20e3, 0.02, 200, 1, 0); part > 0.02 {
		t.Errorf("%.3f are refused for attempts without an answer for ten seconds", part)
	}
}

// After a reload with fewer classes, an attempt of a class that is gone does not count and does no harm.
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

// Work of seconds outlives any fixed window: it is seen all the same, by a busy instance and by a quieter one.
func TestGaugeWithWorkOfSeconds(t *testing.T) {
	for _, perMs := range []float64{0.001, 0.02} {
		w := newSimulation(20e3)
		w.run(60e3, perMs, 5000, 1, 0)
		if part := w.run(200e3, perMs, 5000, 1, 0); part > 0.03 {
			t.Errorf("%g a ms: %.3f are refused while servers are free", perMs, part)
		}
		w.run(230e3, perMs, 5000, 4, 0)
		if part := w.run(280e3, perMs, 5000, 4, 0); part < 0.85 {
			t.Errorf("%g a ms: %.3f are refused, all four times slower", perMs, part)
		}
	}
}
