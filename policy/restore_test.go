package policy

import (
	"testing"
)

// A restored state has everything that was learned, except about server processes that have ended, and no old load counts as a
// current one.
func TestRestoredState(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 100}}
	g := newRig(t, cfg, 3)
	for id := range RequestID(60) {
		g.now += 20
		a := find(g.arrive(id, 0), StartAttempt)
		if a == nil {
			t.Fatalf("request %d not sent", id)
		}
		g.endAttempt(id, 0, a.Server, OK)
		g.report(1, 5, 80)
		g.report(3, 5, 120)
	}
	for range 20 {
		g.balancer.byID[2].outcomesByTenant.AddFailure(g.balancer.now, 1, 1)
	}
	state := g.balancer.State()
	failureRate := g.balancer.byID[2].outcomesByTenant[0].FailureRate(g.now)
	if failureRate < ejectionThreshold {
		t.Fatalf("the failing server's failure rate is %.2f", failureRate)
	}
	next, err := New(cfg, 8)
	if err != nil {
		t.Fatal(err)
	}
	h := &rig{test: t, balancer: next, now: g.now + 1000}
	h.do(Event{Kind: Started})
	h.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: []ServerInfo{
		{ID: 1, Health: Ready},
		{ID: 2, Health: Ready},
		{ID: 3, Health: Ready, StartedAt: h.now - 500},
		{ID: 4, Health: Ready},
	}})
	if err := h.balancer.Restore(&state); err != nil {
		t.Fatal(err)
	}
	one, two, three := h.balancer.byID[1], h.balancer.byID[2], h.balancer.byID[3]
	if one.latency != 80 || !one.latencyReported || one.roundTrip != 1 {
		t.Errorf("the state of a server is lost: %+v", one)
	}
	if got := two.outcomesByTenant[0].FailureRate(h.now); got >= failureRate || got < failureRate/2 {
		t.Errorf("a failure rate of %.2f has become %.2f a second later", failureRate, got)
	}
	if three.latency != 0 || len(three.outcomesByTenant) != 2 || three.outcomesByTenant[0].Failures != 0 {
		t.Errorf("a new server process has the state of the old one: %+v", three)
	}
	if one.rif != 0 || h.balancer.pool.Len() != 0 || one.inFlight != 0 {
		t.Errorf("an old load counts as a current one: %+v", one)
	}
	h.do(Event{Kind: TimerFired, Timer: tickTimer})
	g.balancer.now, g.balancer.loadModel.DecayedAt = h.now, state.FittedAt
	g.balancer.loadModel.Decay(h.now)
	if got, want := h.balancer.loadModel.ClassFactor(0), g.balancer.loadModel.ClassFactor(0); got != want {
		t.Errorf("fit %g, want %g", got, want)
	}
	if b := h.balancer.tenantBuckets[0]; b.At != state.Tenants[0].At || b.Value != state.Tenants[0].Value {
		t.Errorf("the tenant's bucket is %+v", b)
	}
	state.Classes = state.Classes[:1]
	if h.balancer.Restore(&state) == nil {
		t.Error("a state with another number of classes is accepted")
	}
}
