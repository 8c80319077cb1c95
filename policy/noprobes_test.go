package policy

import (
	"testing"

	"plankrouter/policy/internal/probepool"
)

// newSharedFleetWithoutProbes returns a sharedFleet in which probes are not allowed, so that only responses to requests show the
// state of servers.
func newSharedFleetWithoutProbes(t *testing.T, servers int) *sharedFleet {
	f := newSharedFleet(t, servers, 300, false)
	f.balancer.cfg.Probes = false
	return f
}

// Without probes, fewer requests are sent to servers that are known to be slow than the half that a random choice would send.
func TestSlowServersGetLessWithoutProbes(t *testing.T) {
	f := newSharedFleetWithoutProbes(t, 20)
	f.lastSlow = 10
	f.run(20e3)
	f.sentTo = map[ServerID]int{}
	f.run(60e3)
	slow, all := 0, 0
	for id, n := range f.sentTo {
		if all += n; id <= f.lastSlow {
			slow += n
		}
	}
	if fraction := float64(slow) / float64(all); fraction > 0.25 {
		t.Errorf("%.2f of the requests were sent to the slow half", fraction)
	}
}

// Without probes, the time since a server's last response counts as its response time if that is longer than the estimate. The
// server is not admitted only if the request would then miss its latency target.
func TestPendingResponsesCount(t *testing.T) {
	g := newRig(t, testConfig(), 2)
	g.balancer.cfg.Probes = false
	for id := RequestID(1); g.balancer.byID[1].inFlight == 0; id++ {
		g.arrive(id, 0)
	}
	g.balancer.byID[2].inFlight = 0
	g.now += 300
	g.tick()
	r := &request{objectiveAt: g.now + 400, respondBy: g.now + 900}
	if got := g.balancer.pickCost(g.balancer.byID[1], r); got < 300 {
		t.Errorf("a cost of %.0f ms at a server with a response pending for 300 ms", got)
	}
	if got := g.balancer.pickCost(g.balancer.byID[2], r); got > 150 {
		t.Errorf("a cost of %.0f ms at a server without attempts in flight", got)
	}
	if !g.balancer.admits(g.balancer.byID[1], r) {
		t.Error("not admitted with a response pending for 300 ms and 400 ms left")
	}
	if r.objectiveAt = g.now + 200; g.balancer.admits(g.balancer.byID[1], r) {
		t.Error("admitted with a response pending for 300 ms and 200 ms left")
	}
	g.balancer.cfg.Probes = true // with probes, load reports count instead of pending responses
	if got := g.balancer.pickCost(g.balancer.byID[1], r); got > 150 || !g.balancer.admits(g.balancer.byID[1], r) {
		t.Errorf("a cost of %.0f ms, or not admitted, although probes report service times", got)
	}
}

// If the servers drawn at random have no capacity, the request is sent to one that has, also without probes.
func TestCapacityIsFoundWithoutProbes(t *testing.T) {
	g := newRig(t, testConfig(), 20)
	g.balancer.cfg.Probes = false
	g.balancer.pool = probepool.Pool[*server]{}
	for id, s := range g.balancer.byID {
		if s.reportedAt = never; id < 20 {
			s.rif, s.inFlight, s.noResponseSince = 60, 60, g.now
		}
	}
	for id := range RequestID(20) {
		if s := find(g.arrive(id, 0), StartAttempt); s == nil || s.Server != 20 {
			t.Fatalf("request %d: %+v, although only server 20 has capacity", id, s)
		}
		g.endAttempt(id, 0, 20, OK)
	}
}

// A load report in the response to a request is used like one in the response to a probe.
func TestReportsInResponsesAreUsed(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	g.balancer.cfg.Probes, g.balancer.pool = false, probepool.Pool[*server]{}
	s := find(g.arrive(1, 0), StartAttempt)
	g.now += 50
	g.do(Event{
		Kind: AttemptEnded, Request: 1, Server: s.Server, Status: OK, Elapsed: 50, Final: true,
		Report: Report{HasRIF: true, HasLatency: true, RIF: 30, Latency: 70},
	})
	of := g.balancer.byID[s.Server]
	if of.rif != 30 || of.latency != 70 || of.reportedAt != g.now || g.balancer.pool.Len() != 1 {
		t.Errorf("reported: RIF 30, latency 70 ms; got RIF %g and latency %g, and %d pool entries", of.rif,
			of.latency, g.balancer.pool.Len())
	}
}

// A class whose latency target is 1.5 times its duration at servers with free capacity is admitted at such servers, also if
// servers report no load.
func TestTightTargetsAreAdmitted(t *testing.T) {
	for name, probes := range map[string]bool{"probes": true, "no probes": false} {
		f := newSharedFleet(t, 40, 300, false)
		f.balancer.cfg.Probes = probes
		cfg := f.balancer.cfg
		for i := range cfg.Classes {
			cfg.Classes[i].LatencyObjective = 90 // the duration at servers with free capacity is 60 ms
		}
		if err := f.balancer.Reconfigure(cfg, []int{0, 1, 2}, nil); err != nil {
			t.Fatal(err)
		}
		f.run(10e3)
		if fraction := f.run(40e3); fraction < 0.95 {
			t.Errorf("%s: %.2f are admitted; %s", name, fraction, &f.balancer.gauge)
		}
		f.stretch = 6
		f.run(43e3)
		if fraction := f.run(50e3); fraction > 0.4 {
			t.Errorf("%s: %.2f are admitted while responses take 6 times as long; %s", name, fraction, &f.balancer.gauge)
		}
	}
}
