package policy

import (
	"plankrouter/policy/internal/reachability"
	"plankrouter/policy/internal/tokenbucket"
	"testing"
)

// A server whose probes fail is asked less and less often, however many requests wait for news, and is found again within a
// bounded time even when nobody asks for anything. Requests go elsewhere meanwhile.
func TestFailedProbesBackOff(t *testing.T) {
	for name, status := range map[string]Status{
		"refused": ConnectFailed, "draining": Failed, "turned away": Declined,
		"silent": TimedOut,
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
					acts = append(acts, g.done(a.Request, 0, a.Server, OK)...)
				case a.Kind == SendProbe && a.Server == 4 && down:
					probes++
					acts = append(acts, g.do(Event{Kind: ProbeEnded, Server: 4, Status: status, Elapsed: 1})...)
				case a.Kind == SendProbe:
					if a.Server == 4 {
						probes++
					}
					acts = append(acts, g.do(Event{
						Kind: ProbeEnded, Server: a.Server, Elapsed: 1,
						Report: Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40},
					})...)
				}
			}
		}
		tick := func() { settle(g.do(Event{Kind: TimerFired, Timer: tickTimer})) }
		for id := range RequestID(2000) { // ten seconds of one every 5 ms
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
		if s := g.b.byID[4]; s.reachability.Unreachable || s.reachability.ConsecutiveFailures > 0 || g.now-s.reportedAt > reachability.ProbeBackoff.Most {
			t.Errorf("%s: still shut out %.0f ms after its return: %+v", name, g.now-s.reportedAt, s)
		}
	}
}

// Where probes are not allowed a request is the trial of a server that refused a connection, after the same wait.
func TestRefusedConnectionsWithoutProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = false
	g := newRig(t, cfg, 2)
	s := g.b.byID[2]
	s.reachability.Failed(g.b.now, g.b.rng)
	first := s.reachability.NextProbeAt
	if s.reachability.Failed(g.b.now, g.b.rng); s.reachability.ConsecutiveFailures != 1 || s.reachability.NextProbeAt != first {
		t.Errorf("two refusals at once count as %d", s.reachability.ConsecutiveFailures)
	}
	if !g.b.isUnreachable(s) {
		t.Error("not shut out")
	}
	if g.b.now = s.reachability.NextProbeAt; g.b.isUnreachable(s) {
		t.Error("shut out beyond the wait")
	}
}

// What one life has learned is known to the next, but for what concerns a process that has ended, and no load is taken for a
// present one.
func TestStateOutlivesAProcess(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 100}}
	g := newRig(t, cfg, 3)
	for id := range RequestID(60) {
		g.now += 20
		a := find(g.arrive(id, 0), StartAttempt)
		if a == nil {
			t.Fatalf("request %d not sent", id)
		}
		g.done(id, 0, a.Server, OK)
		g.report(1, 5, 80)
		g.report(3, 5, 120)
	}
	for range 20 {
		g.b.byID[2].outcomesByTenant.AddFailure(g.b.now, 1, 1)
	}
	st := g.b.State()
	miss := g.b.byID[2].outcomesByTenant[0].FailureRate(g.now)
	if miss < ejectionThreshold {
		t.Fatalf("the failing server misses %.2f", miss)
	}
	next, err := New(cfg, 8)
	if err != nil {
		t.Fatal(err)
	}
	h := &rig{t: t, b: next, now: g.now + 1000}
	h.do(Event{Kind: Started})
	h.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: []ServerInfo{
		{ID: 1, Health: Ready},
		{ID: 2, Health: Ready},
		{ID: 3, Health: Ready, StartedAt: h.now - 500},
		{ID: 4, Health: Ready},
	}})
	if err := h.b.Restore(&st); err != nil {
		t.Fatal(err)
	}
	one, two, three := h.b.byID[1], h.b.byID[2], h.b.byID[3]
	if one.latency != 80 || !one.latencyReported || one.roundTrip != 1 {
		t.Errorf("what was known of a server is lost: %+v", one)
	}
	if got := two.outcomesByTenant[0].FailureRate(h.now); got >= miss || got < miss/2 {
		t.Errorf("evidence of %.2f is %.2f a second later", miss, got)
	}
	if three.latency != 0 || len(three.outcomesByTenant) != 2 || three.outcomesByTenant[0].Failures != 0 {
		t.Errorf("another process inherits: %+v", three)
	}
	if one.rif != 0 || h.b.pool.Len() != 0 || one.inFlight != 0 {
		t.Errorf("an old load is taken for a present one: %+v", one)
	}
	h.do(Event{Kind: TimerFired, Timer: tickTimer})
	g.b.now, g.b.loadModel.FadedAt = h.now, st.FittedAt
	g.b.loadModel.Fade(h.now)
	if got, want := h.b.loadModel.ClassFactor(0), g.b.loadModel.ClassFactor(0); got != want {
		t.Errorf("fit %g, want %g", got, want)
	}
	if b := h.b.tenantBuckets[0]; b.At != st.Tenants[0].At || b.Value != st.Tenants[0].Value {
		t.Errorf("the tenant's share is %+v", b)
	}
	st.Classes = st.Classes[:1]
	if h.b.Restore(&st) == nil {
		t.Error("a state of other classes is taken")
	}
}

// Many servers are down, some of them for longer than their probes take: those that are back are found all the same, without a
// request, and the others' news is not kept away by them.
func TestNoneWaitsForEver(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 1
	g := newRig(t, cfg, 60)
	down := func(s ServerID) bool { return s > 50 || s%2 == 0 }
	found, healthy := map[ServerID]Ms{}, 0
	start := g.now
	silent := map[ServerID]Ms{} // probes out, until when
	for ; g.now < start+60e3; g.now += tickInterval {
		for id := range ServerID(61) {
			if until, out := silent[id]; out && g.now >= until {
				delete(silent, id)
				g.do(Event{Kind: ProbeEnded, Server: id, Status: TimedOut, Elapsed: 200})
			}
		}
		for _, a := range g.do(Event{Kind: TimerFired, Timer: tickTimer}) {
			switch {
			case a.Kind != SendProbe:
			case down(a.Server) && (g.now < start+30e3 || a.Server > 50):
				silent[a.Server] = g.now + 200
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
			for id := range ServerID(60) { // what is down has been found out
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
		t.Errorf("%d probes of the others in a minute of idleness", healthy)
	}
}

// A probe that could not even be tried is not tried again the next moment, whoever waits for news.
func TestLocalFaultsDoNotBurst(t *testing.T) {
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
	if most := 4 * 2000 / 50; probes > most {
		t.Errorf("%d probes in 2 s, at most %d", probes, most)
	}
}

// A cold server gets more than its budget by the clock only where it has just said that it has room.
func TestColdServersReport(t *testing.T) {
	for name, c := range map[string]struct {
		rif  float64
		age  Ms
		want bool
	}{"has room": {0, 0, true}, "is busy": {5, 0, false}, "said so long ago": {0, maxSlowStartReportAge + 1, false}} {
		g := newRig(t, testConfig(), 2)
		s := g.b.byID[1]
		s.info.StartedAt, s.rif, s.reportedAt = g.now, c.rif, g.now-c.age
		for range 200 { // 100 a second, of which next to none are sent
			g.b.arrivalRate.Add(g.now)
		}
		s.slowStartBudget = tokenbucket.Bucket{Value: 0, At: g.now - 60}
		g.b.now = g.now
		if got := g.b.hasSlowStartBudget(s); got != c.want {
			t.Errorf("%s: %t, with %.2f requests left", name, got, s.slowStartBudget.Value)
		}
	}
}
