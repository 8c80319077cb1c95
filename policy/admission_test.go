package policy

import "testing"

// A class with a long latency objective must not fill the servers so far that a more valuable class with a tight objective is
// rejected.
func TestLongObjectivesLeaveCapacityForTighterOnes(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []Class{
		{LatencyObjective: 2000, Deadline: 4000, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: 200, Deadline: 2000, PriorityWeight: 5, Idempotency: Idempotent},
	}
	for name, c := range map[string]struct {
		rif  float64
		sent bool
	}{
		"servers with capacity": {1, true},
		"full servers":          {40, false},
	} {
		g := newRig(t, cfg, 4)
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, c.rif, 40)
		}
		if got := find(g.arrive(1, 0), StartAttempt) != nil; got != c.sent {
			t.Errorf("%s: sent %t", name, got)
		}
	}
}

// Attempts at servers with a low RIF must not lower the estimated concurrency: a burst after a time of low load would be
// rejected.
func TestLowLoadDoesNotLowerConcurrency(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id := RequestID(1); id <= 500; id++ {
		g.now += 10
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 0, 40)
		}
		g.endAttempt(id, 0, find(g.arrive(id, 0), StartAttempt).Server, OK)
	}
	for s := ServerID(1); s <= 4; s++ {
		g.report(s, 4, 40)
	}
	if find(g.arrive(1000, 2), StartAttempt) == nil {
		t.Error("rejected at a RIF of four after a time of low load")
	}
}

// Requests declined by servers must lower the estimated concurrency, and so the requests admitted.
func TestDeclinedRequestsLowerConcurrency(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	before := g.balancer.loadModel.Concurrency()
	for id := RequestID(1); id <= 10; id++ {
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 3, 40)
		}
		if a := find(g.arrive(id, 2), StartAttempt); a != nil {
			g.endAttempt(id, 0, a.Server, Declined)
		}
	}
	if after := g.balancer.loadModel.Concurrency(); after >= before {
		t.Errorf("concurrency %.1f, then %.1f", before, after)
	}
}

// A response after the latency objective has no value here, but if the attempt were cancelled then, its work would be wasted
// and the client would retry. So the timeout of an attempt is as long as the client waits.
func TestLateResponsesAreAwaited(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LateWeight = 0
	}
	g := newRig(t, cfg, 4)
	if s := find(g.arrive(1, 2), StartAttempt); s == nil || s.After < 900-g.balancer.responseMargin {
		t.Errorf("an attempt for a client that waits 900 ms: %+v", s)
	}
}

// Just after the start only quick requests have ended. The service times that servers report are too short then, and response
// times look too long in comparison. If these counted as samples, many requests of the next seconds would be rejected.
func TestStartupResponsesAreNotSamples(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id, want := range map[RequestID]bool{1: false, 2: true} {
		g.now = 1000 + float64(id-1)*startupPeriod
		for s := range g.balancer.byID {
			g.report(s, 1, 40)
		}
		s := find(g.arrive(id, 0), StartAttempt)
		g.now += 40
		g.endAttempt(id, 0, s.Server, OK)
		if got := g.balancer.loadModel.Classes[0].Count > 0; got != want {
			t.Errorf("%.0f ms after the start: sampled %t, want %t", g.now-1000, got, want)
		}
		g.balancer.loadModel.Classes[0].Count = 0
	}
}

// If wasted work has a cost, the mean response time at a full server must be well below the latency objective: many responses
// take far longer than the mean and take capacity from others. At a server with free capacity a failed attempt costs little. A
// server's mean service time, which a few costly requests raise, counts only up to 1.5 times the fleet's median.
func TestAdmissionLeavesMarginForLongResponses(t *testing.T) {
	cfg := testConfig()
	cfg.WastedWorkCost = 0.1
	g := newRig(t, cfg, 1)
	s, r := g.balancer.byID[1], &request{class: 0, objectiveAt: g.now + 400, respondBy: g.now + 900}
	for name, c := range map[string]struct {
		rif             float64
		latency, median Ms
		want            bool
	}{
		"full, half of the objective":         {4, 200, 200, true},
		"full, more than half of it":          {4, 250, 250, false},
		"free capacity, more than half of it": {1, 250, 250, true},
		"free capacity, somewhat beyond it":   {1, 460, 460, true},
		"free capacity, far beyond it":        {1, 500, 500, false},
		"full, raised mean in a fast fleet":   {4, 900, 120, true},
		"full, raised mean in a slower fleet": {4, 900, 170, false},
	} {
		s.rif = c.rif
		s.latency = c.latency
		g.balancer.fleetLatency = c.median
		if got := g.balancer.admits(s, r); got != c.want {
			t.Errorf("%s: a response of about %.0f ms for an objective of 400: admitted %t", name, g.balancer.expectedLatency(s, 0, s.rif), got)
		}
	}
}

// If no server reports its load, the tenants of a busy instance are within their quotas as long as they divide its traffic
// in proportion to the quotas.
func TestQuotasAtABusyInstance(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.Tenants = 300, []Tenant{{Quota: 300}, {Quota: 100}}
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	over := [2]int{}
	for n := range 4000 { // 40 per second: 30 times the mean; 9 in 10 are of the second tenant, which has a quarter of the quotas
		b.now += 25
		b.arrivalRate.Add(b.now)
		tenant := 1
		if n%10 == 0 {
			tenant = 0
		}
		if !b.withinQuota(tenant) {
			over[tenant]++
		}
	}
	if over[0] > 0 || over[1] < 2000 {
		t.Errorf("%v requests are beyond their tenants' quotas", over)
	}
}
