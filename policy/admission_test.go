package policy

import (
	"plankrouter/internal/probing"
	"plankrouter/policy/internal/probepool"
	"slices"
	"testing"
)

// An answer after the aim earns nothing, but given up at the aim the client asks again: the work was in vain, and more
// of it follows. So an attempt is given as long as the client waits.
func TestLateAnswersAreWaitedFor(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LateWeight = 0
	}
	g := newRig(t, cfg, 4)
	if s := find(g.arrive(1, 2), StartAttempt); s == nil || s.After < 900-g.b.answerMargin {
		t.Errorf("an attempt for a client that waits 900 ms: %+v", s)
	}
}

// Just after the start the quick requests alone are answered, so that reports look too short and responses, by them,
// too long. What is learned from those would refuse much of what comes in the seconds after.
func TestFirstAnswersTeachNothing(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id, want := range map[RequestID]bool{1: false, 2: true} {
		g.now = 1000 + float64(id-1)*startupPeriod
		for s := range g.b.byID {
			g.report(s, 1, 40)
		}
		s := find(g.arrive(id, 0), StartAttempt)
		g.now += 40
		g.done(id, 0, s.Server, OK)
		if got := g.b.loadModel.Classes[0].Count > 0; got != want {
			t.Errorf("%.0f ms after the start: taught %t, want %t", g.now-1000, got, want)
		}
		g.b.loadModel.Classes[0].Count = 0
	}
}

// Where wasted work costs, the mean response must leave much of the aim at a server that is full: many take far longer than
// the mean, and take a place from others. At one with places left a request is worth a try that may well be in vain. And one
// server's mean, which a few costly requests raise, counts up to 1.5 times the median of all.
func TestAdmissionLeavesRoomForLongResponses(t *testing.T) {
	cfg := testConfig()
	cfg.WastedWorkCost = 0.1
	g := newRig(t, cfg, 1)
	s, r := g.b.byID[1], &request{class: 0, objectiveAt: g.now + 400, answerBy: g.now + 900}
	for _, c := range []struct {
		rif          float64
		latency, all Ms
		want         bool
	}{
		{4, 200, 0, true},
		{4, 250, 0, false},
		{1, 250, 0, true},
		{1, 460, 0, true},
		{1, 500, 0, false},
		{4, 900, 120, true},
		{4, 900, 170, false},
	} {
		s.rif, s.latency = c.rif, c.latency
		if g.b.fleetLatency = c.all; c.all == 0 {
			g.b.fleetLatency = c.latency
		}
		if got := g.b.admits(s, r); got != c.want {
			t.Errorf("%g in flight, a response of about %.0f ms for an aim of 400, %.0f ms usual: admitted %t", c.rif,
				g.b.expectedLatency(s, 0, s.rif), g.b.fleetLatency, got)
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
			if a.Kind == SendProbe {
				out[a.Server]++
			}
		}
	}
	for id := range RequestID(20) {
		count(g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900}))
	}
	for s, n := range out {
		if n != 1 {
			t.Errorf("%d probes of server %d under way", n, s)
		}
	}
	clear(out)
	for id := range RequestID(1000) { // a second of one a millisecond, each answered at once
		g.now++
		acts := g.do(Event{Kind: RequestArrived, Request: 100 + id, TimeLeft: 900})
		for count(acts); len(acts) > 0; acts = acts[1:] {
			if acts[0].Kind == SendProbe {
				g.report(acts[0].Server, 1, 40)
			}
		}
	}
	for s, n := range out {
		if n > 1000/probing.MinInterval*2 {
			t.Errorf("%d probes of server %d in a second", n, s)
		}
	}
}

// A server that turns one tenant's requests away serves the others: it is left out for that tenant alone.
func TestTroubleOfOneTenant(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverQuotaWeight = make([]Tenant, 2), 1
	for i := range cfg.Tenants {
		cfg.Tenants[i].Quota = 1e3
	}
	g := newRig(t, cfg, 4)
	s := g.b.byID[1]
	for i := range 12 {
		r := &request{id: RequestID(i + 1), tenant: 1 + i%4/3, inFlight: true, answerBy: g.now + 900} // the second's is every fourth
		g.b.requests[r.id] = r
		g.do(Event{Kind: AttemptEnded, Request: r.id, Server: 1, Status: []Status{OK, Declined}[r.tenant-1], Elapsed: 40, Final: true})
	}
	for tenant, want := range []bool{true, false} {
		if got := g.b.acceptsTenant(s, &request{tenant: 1 + tenant}); got != want {
			t.Errorf("tenant %d: suits %t, want %t", tenant, got, want)
		}
	}
	var to []ServerID
	for id := range RequestID(40) {
		for s := range g.b.byID {
			g.report(s, map[bool]float64{true: 0, false: 2}[s == 1], 40) // the least loaded of all
		}
		if a := find(g.answer(g.do(Event{Kind: RequestArrived, Request: 100 + id, Tenant: 1, TimeLeft: 900})), StartAttempt); a != nil {
			to = append(to, a.Server)
			g.done(100+id, 0, a.Server, OK)
		}
	}
	if len(to) != 40 || slices.Contains(to, 1) {
		t.Errorf("its requests went to %v", to)
	}
}

// A busy sidecar has few probes for each request. An entry of its pool must then do for as many requests as come until the next
// probe's answer, or most of them would find the pool empty and wait for probes of their own.
func TestUsesFollowTheRateOfProbes(t *testing.T) {
	g := newRig(t, testConfig(), 40)
	if n := probing.Uses(probepool.Size, g.b.readyCount, g.b.probesPerRequest, removalFraction); n < 1 || n > 4 {
		t.Errorf("%.1f uses before any request", n)
	}
	waited := 0
	for id := range RequestID(10000) { // half a second of 20,000 a second, and a probe of each server in 40 ms
		g.now += 0.05
		acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
		if find(acts, StartAttempt) == nil {
			waited++
		}
		for ; len(acts) > 0; acts = acts[1:] {
			switch a := acts[0]; a.Kind {
			case StartAttempt:
				acts = append(acts, g.done(a.Request, 0, a.Server, OK)...)
			case SendProbe:
				acts = append(acts, g.do(Event{
					Kind: ProbeEnded, Server: a.Server, Elapsed: 1,
					Report: Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40},
				})...)
			}
		}
	}
	if waited > 70 { // 119 where uses do not follow
		t.Errorf("%d of 10,000 requests waited for probes of their own", waited)
	}
}

// A quiet sidecar's pool is nearly always short, so that every request would wait for probes of its own. All that a request
// causes, those it waits for included, come out of what requests have saved up.
func TestProbesOfAQuietSidecarAreBudgeted(t *testing.T) {
	for _, c := range []struct{ price, most, least float64 }{{0, 2, 1.9}, {0.0046, 2, 1.9}, {0.08, 0.5, 0.4}, {1, 0.15, 0.1}} {
		cfg := testConfig()
		cfg.ProbeCost = c.price
		g := newRig(t, cfg, 60)
		probes, asked := 0, 0
		for id := range RequestID(400) { // each long after the last one, whose news are old
			g.now += 1500
			acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
			for ; len(acts) > 0; acts = acts[1:] {
				switch a := acts[0]; a.Kind {
				case SendProbe:
					probes++
					acts = append(acts, g.do(Event{
						Kind: ProbeEnded, Server: a.Server, Elapsed: 1,
						Report: Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40},
					})...)
				case StartAttempt:
					asked++
					acts = append(acts, g.done(id, 0, a.Server, OK)...)
				case RejectRequest, FailRequest:
					t.Fatalf("request %d is not sent", id)
				}
			}
		}
		if each := float64(probes) / 400; each > c.most || each < c.least || asked != 400 {
			t.Errorf("price %g: %.2f probes a request, want %g to %g; %d sent", c.price, each, c.least, c.most, asked)
		}
	}
}
