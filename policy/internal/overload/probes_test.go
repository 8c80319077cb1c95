package overload

import "testing"

// The duration of a probe shows the server's load if it queues with requests, and a load of about 0 otherwise.
func TestLoadByProbes(t *testing.T) {
	var p ProbeTimes
	for _, c := range []struct { // in this order
		name           string
		zone           int
		duration, want float64 // want: queueing time divided by the shortest duration
	}{
		{"first probe of all", 0, 1, 0},
		{"queueing in units of the shortest", 0, 11, 10},
		{"distant zone: the shortest includes the round trip", 3, 6, 0},
		{"queueing in the distant zone", 3, 16, 10},
		{"network jitter", 0, 1.2, 0.2},
		{"a shorter one", 0, 0.5, 0},
		{"queueing in units of the new shortest", 0, 1, 1},
		{"a shorter one from the distant zone", 3, 5, 0},
		{"unknown zone", -1, 2, 0},
		{"queueing, unknown zone", -1, 3, 2},
		{"queueing in the distant zone, in new units", 3, 10, 10},
	} {
		if got := p.Load(1000, c.zone, c.duration) / priorConcurrency; got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

// The shortest duration on record grows with time, so that an old one does not count forever.
func TestShortestProbeExpires(t *testing.T) {
	var p ProbeTimes
	p.Load(0, 0, 1)
	for now := 1e3; now <= 120e3; now += 1e3 {
		p.Load(now, 0, 3)
	}
	if got := p.Load(121e3, 0, 3); got > 0.1 {
		t.Errorf("a load of %g after two minutes in which all probes took 3 ms", got)
	}
}

// Durations near 0, which can't be measured exactly, must not yield an infinite load.
func TestProbesOfZeroDuration(t *testing.T) {
	var p ProbeTimes
	p.Load(0, 0, 0)
	if got := p.Load(0, 0, 0.05); got < priorConcurrency-1e-9 || got > priorConcurrency+1e-9 {
		t.Errorf("%g", got)
	}
}
