package policy

import (
	"plankrouter/policy/internal/outlier"
	"slices"
	"testing"
)

func TestFastFailingServerIsEjected(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	id, bad := RequestID(0), 0
	for range 300 {
		g.now += 20
		g.reportAll(6, 4)
		id++
		a := find(g.arrive(id, 2), StartAttempt)
		if a == nil {
			continue
		}
		st := OK
		if a.Server == 4 {
			st, bad = Failed, bad+1
		}
		g.done(id, 0, a.Server, st)
	}
	if bad > 30 {
		t.Errorf("%d of 300 requests went to the failing server", bad)
	}
}

func TestSilentServerIsEjected(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	id, hung := RequestID(0), 0
	for range 200 {
		g.now += 20
		g.reportAll(6, 4)
		id++
		a := find(g.arrive(id, 2), StartAttempt)
		if a == nil {
			continue
		}
		if a.Server == 4 {
			hung++ // never answers
			continue
		}
		g.done(id, 0, a.Server, OK)
	}
	if hung > 40 {
		t.Errorf("%d of 200 requests went to the silent server", hung)
	}
}

// A server that declines requests answers fast and looks idle.
func TestDecliningServerGetsFewRequests(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	full := 0
	for id := RequestID(1); id <= 100; id++ {
		g.now += 20
		g.reportAll(6, 4)
		a := find(g.arrive(id, 2), StartAttempt)
		if a == nil {
			continue
		}
		st := OK
		if a.Server == 4 {
			st, full = Declined, full+1
		}
		for _, n := range g.done(id, 0, a.Server, st) {
			if n.Kind == StartAttempt {
				g.done(id, 1, n.Server, OK)
			}
		}
	}
	if full == 0 || full > 25 {
		t.Errorf("%d of 100 requests went to the declining server", full)
	}
}

// A sidecar that has sent nothing to a server must learn from its report that it fails quickly; an old report fades.
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

// A server that declines one tenant's requests serves the others: it is ejected for that tenant alone.
func TestServerEjectedForOneTenant(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverQuotaWeight = make([]Tenant, 2), 1
	for i := range cfg.Tenants {
		cfg.Tenants[i].Quota = 1e3
	}
	g := newRig(t, cfg, 4)
	s := g.balancer.byID[1]
	for i := range 12 {
		r := &request{id: RequestID(i + 1), tenant: 1 + i%4/3, inFlight: true, answerBy: g.now + 900} // the second's is every fourth
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
