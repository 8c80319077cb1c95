package overload

import "testing"

// A probe's time shows the load where it queues with requests, whichever instance has sent them, and none where it doesn't.
func TestLoadByProbes(t *testing.T) {
	var p ProbeTimes
	for _, c := range []struct { // in this order
		name           string
		zone           int
		duration, want float64 // want: waiting over the shortest time, which Model takes for the stretch
	}{
		{"first probe of all", 0, 1, 0},
		{"waiting in units of the shortest", 0, 11, 10},
		{"far zone: its shortest is the round trip", 3, 6, 0},
		{"waiting in the far zone", 3, 16, 10},
		{"the network's jitter", 0, 1.2, 0.2},
		{"a shorter one", 0, 0.5, 0},
		{"waiting in units of the new shortest", 0, 1, 1},
		{"a shorter one from the far zone", 3, 5, 0},
		{"zone not known", -1, 2, 0},
		{"waiting, zone not known", -1, 3, 2},
		{"waiting in the far zone, in new units", 3, 10, 10},
	} {
		if got := p.Load(1000, c.zone, c.duration) / priorConcurrency; got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

// What was the shortest time long ago does not count for ever.
func TestShortestProbeFades(t *testing.T) {
	var p ProbeTimes
	p.Load(0, 0, 1)
	for now := 1e3; now <= 120e3; now += 1e3 {
		p.Load(now, 0, 3)
	}
	if got := p.Load(121e3, 0, 3); got > 0.1 {
		t.Errorf("a load of %g by what takes 3 ms since two minutes", got)
	}
}

// No clock is exact enough for the time of a probe that takes next to none.
func TestProbesThatTakeNoTime(t *testing.T) {
	var p ProbeTimes
	p.Load(0, 0, 0)
	if got := p.Load(0, 0, 0.05); got < priorConcurrency-1e-9 || got > priorConcurrency+1e-9 {
		t.Errorf("%g", got)
	}
}
