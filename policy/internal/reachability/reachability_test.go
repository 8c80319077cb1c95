package reachability

import (
	"math/rand/v2"
	"testing"
)

func TestConcurrentFailuresCountAsOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	var s State
	s.Failed(1000, rng)
	first := s.NextProbeAt
	s.Failed(1001, rng)
	if s.ConsecutiveFailures != 1 || s.NextProbeAt != first {
		t.Errorf("%+v after two failures at once", s)
	}
	if s.MayProbe(first-1) || !s.MayProbe(first) {
		t.Errorf("the next probe is not at %g", first)
	}
	s.Failed(first, rng)
	if s.ConsecutiveFailures != 2 || s.NextProbeAt-first < ProbeBackoff.First*ProbeBackoff.Factor*(1-ProbeBackoff.Jitter) {
		t.Errorf("%+v after a second failure at %g", s, first)
	}
}

func TestOnlyAProbeResponseEndsTheBackoff(t *testing.T) {
	var s State
	s.Failed(1000, rand.New(rand.NewPCG(1, 0)))
	s.RequestSucceeded()
	if s.Unreachable || !s.HasFailed() {
		t.Errorf("%+v after a response to a request", s)
	}
	s.ProbeSucceeded(1010)
	if s.HasFailed() || !s.MayProbe(1010) {
		t.Errorf("%+v after a response to a probe", s)
	}
	s.ProbeNotSent(1010)
	if s.Unreachable || s.MayProbe(1011) {
		t.Errorf("%+v after a probe that was not sent", s)
	}
}
