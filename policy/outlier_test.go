package policy

import (
	"slices"
	"testing"

	"plankrouter/policy/internal/outlier"
)

// sendWithIdleServer sends requests in a fleet of six servers, of which server 4 always reports no load, and returns how many
// first attempts it got. endIdleAttempt may end an attempt there; all other attempts succeed.
func sendWithIdleServer(t *testing.T, requests int, endIdleAttempt func(g *rig, id RequestID)) (toIdle int) {
	t.Helper()
	const idle = 4
	g := newRig(t, testConfig(), 6)
	for id := RequestID(1); id <= RequestID(requests); id++ {
		g.now += 20
		g.reportAll(6, idle)
		attempt := find(g.arrive(id, 2), StartAttempt)
		switch {
		case attempt == nil:
		case attempt.Server == idle:
			toIdle++
			endIdleAttempt(g, id)
		default:
			g.endAttempt(id, 0, attempt.Server, OK)
		}
	}
	return toIdle
}

func TestFastFailingServerIsEjected(t *testing.T) {
	failed := sendWithIdleServer(t, 300, func(g *rig, id RequestID) { g.endAttempt(id, 0, 4, Failed) })
	if failed > 30 {
		t.Errorf("%d of 300 requests were sent to the failing server", failed)
	}
}

func TestUnresponsiveServerIsEjected(t *testing.T) {
	unresponsive := sendWithIdleServer(t, 200, func(*rig, RequestID) {})
	if unresponsive > 40 {
		t.Errorf("%d of 200 requests were sent to the unresponsive server", unresponsive)
	}
}

// A server that declines requests responds quickly and looks idle, but must not attract requests.
func TestDecliningServerGetsFewRequests(t *testing.T) {
	declined := sendWithIdleServer(t, 100, func(g *rig, id RequestID) {
		if next := find(g.endAttempt(id, 0, 4, Declined), StartAttempt); next != nil {
			g.endAttempt(id, 1, next.Server, OK)
		}
	})
	if declined == 0 || declined > 25 {
		t.Errorf("%d of 100 requests were sent to the declining server", declined)
	}
}

// A server is ejected by the error rate that it reports, also if this instance has sent it nothing. The weight of a report
// decays.
func TestReportedErrorsEject(t *testing.T) {
	for name, c := range map[string]struct {
		errors, age float64
		ejected     bool
	}{
		"no errors":             {0, 0, false},
		"few errors":            {1, 0, false},
		"many errors":           {60, 0, true},
		"many errors, long ago": {60, 3 * outlier.HalfLife, false},
	} {
		g := newRig(t, testConfig(), 6)
		g.do(Event{Kind: ProbeEnded, Server: 4, Elapsed: 1, Report: Report{
			HasRIF: true, HasLatency: true,
			HasErrors: true, Latency: 40, Errors: c.errors,
		}})
		g.now += c.age
		g.tick()
		if got := g.balancer.isEjected(g.balancer.byID[4]); got != c.ejected {
			t.Errorf("%s: ejected %t", name, got)
		}
	}
}

// A server that declines only one tenant's requests is ejected for that tenant alone.
func TestServerEjectedForOneTenant(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverQuotaWeight = make([]Tenant, 2), 1
	for i := range cfg.Tenants {
		cfg.Tenants[i].Quota = 1e3
	}
	g := newRig(t, cfg, 4)
	s := g.balancer.byID[1]
	for i := range 12 {
		r := &request{id: RequestID(i + 1), tenant: 1 + i%4/3, inFlight: true, respondBy: g.now + 900} // 1 in 4 is of tenant 2
		g.balancer.requests[r.id] = r
		g.do(Event{Kind: AttemptEnded, Request: r.id, Server: 1, Status: []Status{OK, Declined}[r.tenant-1], Elapsed: 40, Final: true})
	}
	for tenant, want := range []bool{true, false} {
		if got := g.balancer.acceptsTenant(s, &request{tenant: 1 + tenant}); got != want {
			t.Errorf("tenant %d: accepted %t, want %t", tenant, got, want)
		}
	}
	var to []ServerID
	for id := range RequestID(40) {
		for s := range g.balancer.byID {
			g.report(s, map[bool]float64{true: 0, false: 2}[s == 1], 40) // server 1 is the least loaded
		}
		if a := find(g.respondToProbes(g.do(Event{Kind: RequestArrived, Request: 100 + id, Tenant: 1, TimeLeft: 900})), StartAttempt); a != nil {
			to = append(to, a.Server)
			g.endAttempt(100+id, 0, a.Server, OK)
		}
	}
	if len(to) != 40 || slices.Contains(to, 1) {
		t.Errorf("the tenant's requests were sent to %v", to)
	}
}
