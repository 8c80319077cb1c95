package logic

import "testing"

// An answer after the aim earns nothing, but given up at the aim the client asks again: the work was in vain, and more
// of it follows. So an attempt is given as long as the client waits.
func TestLateAnswersAreWaitedFor(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LateWorth = 0
	}
	g := newRig(t, cfg, 4)
	if s := find(g.arrive(1, 2), Send); s == nil || s.After < 900-g.b.margin {
		t.Errorf("an attempt for a client that waits 900 ms: %+v", s)
	}
}

// Just after the start the quick requests alone are answered, so that reports look too short and responses, by them,
// too long. What is learned from those would refuse much of what comes in the seconds after.
func TestFirstAnswersTeachNothing(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id, want := range map[RequestID]bool{1: false, 2: true} {
		g.now = 1000 + float64(id-1)*firstAnswers
		for s := range g.b.byID {
			g.report(s, 1, 40)
		}
		s := find(g.arrive(id, 0), Send)
		g.now += 40
		g.done(id, 0, s.Server, OK)
		if got := g.b.fit.class[0].n > 0; got != want {
			t.Errorf("%.0f ms after the start: taught %t, want %t", g.now-1000, got, want)
		}
		g.b.fit.class[0].n = 0
	}
}

// Where wasted work costs, the mean response must leave much of the aim: many take far longer than the mean.
func TestAdmissionLeavesRoomForLongResponses(t *testing.T) {
	cfg := testConfig()
	cfg.WastePrice = 0.1
	g := newRig(t, cfg, 1)
	s, r := g.b.byID[1], &request{class: 0, aimAt: g.now + 400, endAt: g.now + 900}
	for latency, want := range map[Ms]bool{200: true, 250: false} {
		s.rif, s.latency = 1, latency
		if got := g.b.admits(s, r); got != want {
			t.Errorf("a response of about %.0f ms for an aim of 400: admitted %t", g.b.expect(s, 0, s.rif), got)
		}
	}
}

// A probe that is under way will answer for all: in a sidecar short of time, more of them only make the answers later.
// And a busy sidecar, which sees each server many times a second, needs fewer for each request.
func TestProbesAreBounded(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	out := map[ServerID]int{}
	count := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == Probe {
				out[a.Server]++
			}
		}
	}
	for id := range RequestID(20) {
		count(g.do(Event{Kind: Arrival, Request: id, Left: 900}))
	}
	for s, n := range out {
		if n != 1 {
			t.Errorf("%d probes of server %d under way", n, s)
		}
	}
	clear(out)
	for id := range RequestID(1000) { // a second of one a millisecond, each answered at once
		g.now++
		acts := g.do(Event{Kind: Arrival, Request: 100 + id, Left: 900})
		for count(acts); len(acts) > 0; acts = acts[1:] {
			if acts[0].Kind == Probe {
				g.report(acts[0].Server, 1, 40)
			}
		}
	}
	for s, n := range out {
		if n > 1000/probeFresh*2 {
			t.Errorf("%d probes of server %d in a second", n, s)
		}
	}
}
