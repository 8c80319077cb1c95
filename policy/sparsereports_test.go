package policy

import (
	"testing"
)

// Reports are sparse if the instance probes most servers rarely, for any number of requests and servers.
func TestReportsAreSparse(t *testing.T) {
	for name, c := range map[string]struct {
		servers  int
		interval Ms // time between two requests
		price    float64
		want     bool
	}{
		"few requests, costly probes":  {60, 60, 0.08, true},
		"many requests, few servers":   {16, 4, 0.0046, false},
		"many requests, costly probes": {60, 1, 0.08, false},
		"few requests, free probes":    {60, 60, 0, true},
		"few requests, three servers":  {3, 60, 0.0046, false},
	} {
		cfg := testConfig()
		cfg.ProbeCost = c.price
		g := newRig(t, cfg, c.servers)
		for id := range RequestID(6000 / c.interval) { // long enough for the rate to be known
			g.now += c.interval
			g.arrive(id, 0)
		}
		if g.balancer.reportsSparse != c.want {
			t.Errorf("%s: sparse %t", name, g.balancer.reportsSparse)
		}
	}
}

// If reports are sparse, a server needs more free capacity to admit a request, and one whose report is older than the maximum
// age of a pool entry counts as having none.
func TestSparseReportsNeedMoreCapacity(t *testing.T) {
	cfg := testConfig()
	cfg.WastedWorkCost = 0.1
	for name, c := range map[string]struct {
		rif              float64
		latency          Ms
		frequent, sparse bool // whether the request is admitted if reports are frequent, or sparse
	}{
		"few in flight, fast":       {2, 40, true, true},
		"many in flight, fast":      {17, 40, true, false},
		"some in flight, slow":      {5, 200, true, false},
		"too many in flight for it": {30, 40, false, false},
	} {
		g := newRig(t, cfg, 2)
		s, r := g.balancer.byID[1], &request{class: 0, objectiveAt: g.now + 400, respondBy: g.now + 900}
		s.rif, s.latency, g.balancer.fleetLatency = c.rif, c.latency, c.latency
		g.balancer.byID[2].rif = 50
		for sparse, want := range map[bool]bool{false: c.frequent, true: c.sparse} {
			if g.balancer.reportsSparse = sparse; g.balancer.admits(s, r) != want {
				t.Errorf("%s, sparse %t: admitted %t", name, sparse, !want)
			}
			if got := g.balancer.randomWithCapacity(r) == s; got != want {
				t.Errorf("%s, sparse %t: has capacity %t", name, sparse, got)
			}
		}
	}
	g := newRig(t, cfg, 1)
	r := &request{class: 0, objectiveAt: g.now + 1200, respondBy: g.now + 1700}
	if g.balancer.now += 800; g.balancer.randomWithCapacity(r) == nil {
		t.Error("a report from 800 ms ago is not used")
	}
	if g.balancer.reportsSparse = true; g.balancer.randomWithCapacity(r) != nil {
		t.Error("a report from 800 ms ago counts as recent")
	}
}

// A random pick prefers servers that have reported in the last seconds.
func TestRandomPickPrefersKnownServers(t *testing.T) {
	g := newRig(t, testConfig(), 30)
	g.balancer.now += 2500
	g.now = g.balancer.now
	for _, id := range []ServerID{3, 14} {
		g.report(id, 1, 40)
	}
	g.balancer.now += 2000 // the pool's entries are too old
	g.balancer.pool.Expire(g.balancer.now, g.balancer.maxEntryAge())
	r := &request{class: 0, objectiveAt: g.balancer.now + 400, respondBy: g.balancer.now + 900}
	met := map[ServerID]bool{}
	for range 100 {
		met[g.balancer.pick(r).info.ID] = true
	}
	if len(met) != 2 || !met[3] || !met[14] {
		t.Errorf("servers picked: %v", met)
	}
	if g.balancer.now += 2000; g.balancer.pick(r) == nil {
		t.Error("no server is picked once all reports are old")
	}
}

// If probes are costly, none is sent just to find out whether an unreachable server is back: the random probes of requests
// do that.
func TestCostlyProbesOfUnreachableServers(t *testing.T) {
	for name, c := range map[string]struct {
		price                float64
		minProbes, maxProbes int
	}{
		"cheap":  {0.0046, 20, 60},
		"costly": {0.08, 0, 0},
	} {
		cfg := testConfig()
		cfg.ProbeCost = c.price
		g := newRig(t, cfg, 20)
		probes := 0
		for range 100 { // all servers are down for five seconds
			g.now += tickInterval
			for _, a := range g.tick() {
				if a.Kind == SendProbe && g.balancer.lastProbeAt != g.now { // not the probe that an idle instance sends
					probes++
				}
				if a.Kind == SendProbe {
					g.do(Event{Kind: ProbeEnded, Server: a.Server, Status: ConnectFailed, Elapsed: 1})
				}
			}
		}
		if probes < c.minProbes || probes > c.maxProbes {
			t.Errorf("%s: %d recovery probes, want %d to %d", name, probes, c.minProbes, c.maxProbes)
		}
		if s := g.balancer.byID[1]; c.price > 0.05 {
			for s.reachability.ConsecutiveFailures = 1; s.reachability.ConsecutiveFailures > 0 && g.now < 1e6; {
				g.now += 60
				for _, a := range g.do(Event{Kind: RequestArrived, Request: RequestID(g.now), TimeLeft: 900}) {
					if a.Kind == SendProbe {
						g.report(a.Server, 1, 40)
					}
				}
			}
			if s.reachability.ConsecutiveFailures > 0 {
				t.Error("an unreachable server is not found again")
			}
		}
	}
}

// If reports are sparse, an instance sends probes before it rejects a request. They are borrowed from later requests, so
// that the total stays within the budget.
func TestSparseReportsAreProbedForBeforeARejection(t *testing.T) {
	cfg := testConfig()
	cfg.ProbeCost, cfg.WastedWorkCost = 0.08, 0.1
	for _, hasCapacity := range []bool{true, false} {
		g := newRig(t, cfg, 60)
		probes, sent, rejected := 0, 0, 0
		for id := range RequestID(400) {
			g.now += 100
			acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
			for ; len(acts) > 0; acts = acts[1:] {
				switch a := acts[0]; a.Kind {
				case SendProbe: // with hasCapacity, every second server has free capacity; otherwise none has
					probes++
					rif := 40.0
					if hasCapacity && a.Server%2 == 0 {
						rif = 1
					}
					acts = append(acts, g.do(probeResponse(a.Server, rif, 40))...)
				case SetTimer:
					if a.Timer >= probeWaitTimer {
						g.now += a.After
						acts = append(acts, g.do(Event{Kind: TimerFired, Timer: a.Timer})...)
					}
				case StartAttempt:
					sent++
					acts = append(acts, g.endAttempt(a.Request, 0, a.Server, OK)...)
				case RejectRequest:
					rejected++
				}
			}
		}
		if each := float64(probes) / 400; each > 0.55 || each < 0.4 {
			t.Errorf("capacity %t: %.2f probes per request", hasCapacity, each)
		}
		if sent+rejected != 400 || hasCapacity && sent < 230 || !hasCapacity && rejected < 300 {
			t.Errorf("capacity %t: %d sent, %d rejected", hasCapacity, sent, rejected)
		}
	}
}

// If reports are sparse, probes are sent to the instance's own zone, except those of one request in ten.
func TestSparseReportsAreOfTheOwnZone(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.ProbeCost = 0.01, 0.08
	for sparse, want := range map[bool][2]int{false: {380, 620}, true: {720, 950}} {
		g := newRig(t, cfg, 1)
		list := make([]ServerInfo, 60)
		for i := range list {
			list[i] = ServerInfo{ID: ServerID(i + 1), Health: Ready, Zone: i % 5}
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		near, all := 0, 0
		for id := RequestID(0); all < 1000; id++ {
			g.balancer.reportsSparse = sparse
			r := &request{id: id, objectiveAt: g.now + 400, respondBy: g.now + 900, probeWaits: maxProbeWaits}
			g.balancer.probeCredit, g.balancer.actions = 1, nil
			g.balancer.pickOrWait(r)
			for _, a := range g.balancer.actions {
				if a.Kind != SendProbe {
					continue
				}
				if all++; (a.Server-1)%5 == 0 {
					near++
				}
				g.balancer.byID[a.Server].probeInFlight = false
			}
		}
		if near < want[0] || near > want[1] {
			t.Errorf("sparse %t: %d of 1000 probes are sent to the own zone, want %d to %d", sparse, near, want[0], want[1])
		}
	}
}
