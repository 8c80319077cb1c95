package overload

import "testing"

// A probe's time tells the load where it queues with requests, whoever has sent them, and none where it doesn't.
func TestLoadByProbes(t *testing.T) {
	var p ProbeTimes
	for _, c := range []struct {
		zone       int
		took, want float64 // want: waiting over the least time, which Model takes for the stretch
	}{
		{0, 1, 0},   // all that is known is its own time
		{0, 11, 10}, // in units of the least
		{3, 6, 0},   // far away: the least of its zone is the way there
		{3, 16, 10},
		{0, 1.2, 0.2}, // the network's jitter
		{0, 0.5, 0},
		{0, 1, 1}, // in units of the new least
		{3, 5, 0},
		{-1, 2, 0}, // a zone that nobody knows
		{-1, 3, 2},
		{3, 10, 10},
	} {
		if got := p.Load(1000, c.zone, c.took) / priorConcurrency; got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("zone %d, %g ms: %g, want %g", c.zone, c.took, got, c.want)
		}
	}
}

// What was the least long ago is not believed for ever.
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
