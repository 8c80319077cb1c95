package policy

import (
	"testing"

	"plankrouter/internal/probing"
	"plankrouter/internal/subset"
	"plankrouter/policy/internal/probepool"
	"plankrouter/policy/internal/reachability"
)

// An instance with little traffic has no recent load reports: its requests wait for their own probes instead of being sent to
// a random server, and are sent anyway if there is no response to the probes.
func TestShortPoolWaitsForItsProbes(t *testing.T) {
	for _, c := range []struct {
		name      string
		responses int // number of probes with a response; the second one shows an idle server
		best      bool
	}{{"responses", 3, true}, {"no responses", 0, false}} {
		g := newRig(t, testConfig(), 8)
		g.now += 5000                                  // all reports are old
		g.balancer.probeCredit = probing.MaxPerRequest // probes that an earlier request did not send
		acts := g.do(Event{Kind: RequestArrived, Request: 1, Class: 0, TimeLeft: 900})
		var targets []ServerID
		for _, a := range acts {
			if a.Kind == SendProbe {
				targets = append(targets, a.Server)
			}
		}
		if find(acts, StartAttempt) != nil || len(targets) != probing.PerWait {
			t.Fatalf("%s: did not wait for %d probes: %v", c.name, probing.PerWait, acts)
		}
		g.now += 5
		var sent *Action
		for i, s := range targets[:c.responses] {
			rif := 9.0
			if i == 1 {
				rif = 0
			}
			sent = find(g.do(probeResponse(s, rif, 40)), StartAttempt)
		}
		g.now += probeWaitFraction*g.balancer.minObjective + 5
		for i := range 2*maxProbeWaits + 1 {
			if acts := g.do(Event{Kind: TimerFired, Timer: probeWaitTimer + 1}); sent == nil {
				sent = find(acts, StartAttempt)
			}
			g.now += 20 * float64(i+1)
		}
		if sent == nil || c.best && sent.Server != targets[1] {
			t.Errorf("%s: sent %v, want server %v", c.name, sent, targets)
		}
		if len(g.balancer.waitingForProbes) != 0 {
			t.Errorf("%s: %d requests still wait", c.name, len(g.balancer.waitingForProbes))
		}
	}
}

// If a thousand instances connected to every server, the servers' connection tables would be full. So each instance uses a
// subset, servers of its own zone first. If there are few instances, each of them uses all servers.
func TestSubsetFollowsTheNumberOfInstances(t *testing.T) {
	for name, c := range map[string]struct{ instances, servers, want int }{
		"one instance":                    {1, 64, 64},
		"few instances":                   {5, 12, 12},
		"one server":                      {1000, 1, 1},
		"two servers":                     {1000, 2, 2},
		"many instances":                  {1000, 64, 8},
		"many instances, an odd number":   {1000, 65, 8},
		"as many servers as instances":    {1000, 1000, 128},
		"far more instances than servers": {100000, 1000, subset.MinSize},
	} {
		cfg := testConfig()
		cfg.Instances, cfg.CrossZoneCost = c.instances, 0.01
		b, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		g := &rig{test: t, balancer: b, now: 1000}
		var list []ServerInfo
		for i := range c.servers {
			list = append(list, ServerInfo{ID: ServerID(i + 1), Zone: i % 2, Health: Ready})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		met := map[ServerID]bool{}
		for range 40 * c.servers {
			g.balancer.probeRandom(probing.MaxPerRequest, g.balancer.subsetSize())
		}
		for _, a := range g.balancer.actions {
			if a.Kind == SendProbe {
				met[a.Server] = true
			}
		}
		if len(met) != c.want {
			t.Errorf("%s: %d of %d servers probed, want %d", name, len(met), c.servers, c.want)
		}
		for id := range met {
			if c.want < c.servers/2 && id%2 == 0 {
				t.Errorf("%s: server %d is not in the own zone", name, id)
			}
		}
	}
}

// A server whose probes fail is probed with an exponential backoff, however many requests wait for reports, and is found again
// within a bounded time even without requests. Meanwhile requests are sent to other servers.
func TestFailedProbesBackOff(t *testing.T) {
	for name, status := range map[string]Status{
		"refused": ConnectFailed, "draining": Failed, "declined": Declined,
		"timed out": TimedOut,
	} {
		g := newRig(t, testConfig(), 4)
		down, probes, sends := true, 0, 0
		settle := func(acts []Action) {
			for ; len(acts) > 0; acts = acts[1:] {
				switch a := acts[0]; {
				case a.Kind == StartAttempt && a.Server == 4:
					sends++
					fallthrough
				case a.Kind == StartAttempt:
					acts = append(acts, g.endAttempt(a.Request, 0, a.Server, OK)...)
				case a.Kind == SendProbe && a.Server == 4 && down:
					probes++
					acts = append(acts, g.do(Event{Kind: ProbeEnded, Server: 4, Status: status, Elapsed: 1})...)
				case a.Kind == SendProbe:
					if a.Server == 4 {
						probes++
					}
					acts = append(acts, g.do(probeResponse(a.Server, 1, 40))...)
				}
			}
		}
		tick := func() { settle(g.tick()) }
		for id := range RequestID(2000) { // one request every 5 ms for ten seconds
			if g.now += 5; id%10 == 0 {
				tick()
			}
			settle(g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900}))
		}
		if probes < 9 || probes > 25 {
			t.Errorf("%s: %d probes in 10 s", name, probes)
		}
		if sends > 5 {
			t.Errorf("%s: %d requests", name, sends)
		}
		down, probes = false, 0
		for at := g.now; probes == 0 && g.now < at+5000; g.now += tickInterval {
			tick()
		}
		if s := g.balancer.byID[4]; s.reachability.Unreachable || s.reachability.ConsecutiveFailures > 0 || g.now-s.reportedAt > reachability.ProbeBackoff.Max {
			t.Errorf("%s: still unreachable %.0f ms after its return: %+v", name, g.now-s.reportedAt, s)
		}
	}
}

// Without probes, a server that has refused a connection may get a request after the backoff that would otherwise delay a probe.
func TestUnreachableWithoutProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = false
	g := newRig(t, cfg, 2)
	s := g.balancer.byID[2]
	s.reachability.Failed(g.balancer.now, g.balancer.rng)
	first := s.reachability.NextProbeAt
	if s.reachability.Failed(g.balancer.now, g.balancer.rng); s.reachability.ConsecutiveFailures != 1 || s.reachability.NextProbeAt != first {
		t.Errorf("two refused connections at once count as %d", s.reachability.ConsecutiveFailures)
	}
	if !g.balancer.isUnreachable(s) {
		t.Error("reachable after a refused connection")
	}
	if g.balancer.now = s.reachability.NextProbeAt; g.balancer.isUnreachable(s) {
		t.Error("unreachable after the backoff")
	}
}

// Many servers do not respond to probes, half of them for good: those that are back must be found without a request, and probes
// of failed servers must not replace those of the others.
func TestEveryServerIsFoundAgain(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 1
	g := newRig(t, cfg, 60)
	down := func(s ServerID) bool { return s > 50 || s%2 == 0 }
	found, healthy := map[ServerID]Ms{}, 0
	start := g.now
	probesInFlight := map[ServerID]Ms{} // when each probe in flight times out
	for ; g.now < start+60e3; g.now += tickInterval {
		for id := range ServerID(61) {
			if timeoutAt, inFlight := probesInFlight[id]; inFlight && g.now >= timeoutAt {
				delete(probesInFlight, id)
				g.do(Event{Kind: ProbeEnded, Server: id, Status: TimedOut, Elapsed: 200})
			}
		}
		for _, a := range g.tick() {
			switch {
			case a.Kind != SendProbe:
			case down(a.Server) && (g.now < start+30e3 || a.Server > 50):
				probesInFlight[a.Server] = g.now + 200
			default:
				if _, before := found[a.Server]; down(a.Server) && !before {
					found[a.Server] = g.now - start - 30e3
				} else if !down(a.Server) {
					healthy++
				}
				g.report(a.Server, 1, 40)
			}
		}
		if g.now == start {
			for id := range ServerID(60) { // report a failed probe of each server that is down
				if down(id + 1) {
					g.do(Event{Kind: ProbeEnded, Server: id + 1, Status: ConnectFailed, Elapsed: 1})
				}
			}
		}
	}
	if len(found) != 25 {
		t.Errorf("%d of 25 were found again", len(found))
	}
	for id, after := range found {
		if after > 5000 {
			t.Errorf("server %d was found %.0f ms after its return", id, after)
		}
	}
	if healthy < 20 {
		t.Errorf("%d probes of the others in an idle minute", healthy)
	}
}

// A probe that could not be sent is not retried at once, however many requests wait for reports.
func TestUnsentProbesDoNotBurst(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	probes := 0
	for id := range RequestID(400) { // two seconds
		g.now += 5
		acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
		for ; len(acts) > 0; acts = acts[1:] {
			if acts[0].Kind == SendProbe {
				probes++
				acts = append(acts, g.do(Event{Kind: ProbeEnded, Server: acts[0].Server, Status: NotSent})...)
			}
		}
	}
	if maxProbes := 4 * 2000 / 50; probes > maxProbes {
		t.Errorf("%d probes in 2 s, at most %d", probes, maxProbes)
	}
}

// A server has one probe in flight at a time, whose response serves all requests: in a sidecar short of CPU time more probes
// would only delay the responses. A busy sidecar, which gets many reports of each server per second, sends fewer per
// request.
func TestProbesAreBounded(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	probeCounts := map[ServerID]int{}
	count := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == SendProbe {
				probeCounts[a.Server]++
			}
		}
	}
	for id := range RequestID(20) {
		count(g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900}))
	}
	for s, n := range probeCounts {
		if n != 1 {
			t.Errorf("%d probes of server %d in flight", n, s)
		}
	}
	clear(probeCounts)
	for id := range RequestID(1000) { // one request per millisecond for a second, with immediate probe responses
		g.now++
		acts := g.do(Event{Kind: RequestArrived, Request: 100 + id, TimeLeft: 900})
		for count(acts); len(acts) > 0; acts = acts[1:] {
			if acts[0].Kind == SendProbe {
				g.report(acts[0].Server, 1, 40)
			}
		}
	}
	for s, n := range probeCounts {
		if n > 1000/probing.MinInterval*2 {
			t.Errorf("%d probes of server %d in one second", n, s)
		}
	}
}

// A busy sidecar sends few probes per request. A pool entry must then serve all requests that arrive until the next probe's
// response, or most requests would find the pool empty and wait for their own probes.
func TestUsesFollowTheRateOfProbes(t *testing.T) {
	g := newRig(t, testConfig(), 40)
	if n := probing.UsesPerEntry(probepool.Size, g.balancer.readyCount, g.balancer.probesPerRequest, removalFraction); n < 1 || n > 4 {
		t.Errorf("%.1f uses before any request", n)
	}
	waited := 0
	for id := range RequestID(10000) { // 20,000 per second for half a second, with one probe of each server per 40 ms
		g.now += 0.05
		acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
		if find(acts, StartAttempt) == nil {
			waited++
		}
		for ; len(acts) > 0; acts = acts[1:] {
			switch a := acts[0]; a.Kind {
			case StartAttempt:
				acts = append(acts, g.endAttempt(a.Request, 0, a.Server, OK)...)
			case SendProbe:
				acts = append(acts, g.do(probeResponse(a.Server, 1, 40))...)
			}
		}
	}
	if waited > 70 { // many more if uses did not follow the rate of probes
		t.Errorf("%d of 10,000 requests waited for their own probes", waited)
	}
}

// The pool of a sidecar with few requests nearly always has too few entries, so that every request would wait for its own
// probes. All probes of a request, including those that it waits for, count against the probes earned by requests.
func TestProbesAtALowRateAreBudgeted(t *testing.T) {
	for name, c := range map[string]struct{ price, maxEach, minEach float64 }{
		"free":        {0, 2, 1.9},
		"cheap":       {0.0046, 2, 1.9},
		"costly":      {0.08, 0.5, 0.4},
		"very costly": {1, 0.15, 0.1},
	} {
		cfg := testConfig()
		cfg.ProbeCost = c.price
		g := newRig(t, cfg, 60)
		probes, sent := 0, 0
		for id := range RequestID(400) { // one every 1.5 s: the reports received for the previous one have expired by then
			g.now += 1500
			acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
			for ; len(acts) > 0; acts = acts[1:] {
				switch a := acts[0]; a.Kind {
				case SendProbe:
					probes++
					acts = append(acts, g.do(probeResponse(a.Server, 1, 40))...)
				case StartAttempt:
					sent++
					acts = append(acts, g.endAttempt(id, 0, a.Server, OK)...)
				case RejectRequest, FailRequest:
					t.Fatalf("request %d is not sent", id)
				}
			}
		}
		if each := float64(probes) / 400; each > c.maxEach || each < c.minEach || sent != 400 {
			t.Errorf("%s: %.2f probes per request, want %g to %g; %d sent", name, each, c.minEach, c.maxEach, sent)
		}
	}
}
