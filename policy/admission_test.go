package policy

import "testing"

// A class with a long latency objective must not fill the servers until one of more value with a tight objective finds none.
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

// Attempts at servers with few in flight must not lower what servers count as able to run: a burst after a quiet time would be
// refused.
func TestQuietTimesDoNotLowerConcurrency(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id := RequestID(1); id <= 500; id++ {
		g.now += 10
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 0, 40)
		}
		g.done(id, 0, find(g.arrive(id, 0), StartAttempt).Server, OK)
	}
	for s := ServerID(1); s <= 4; s++ {
		g.report(s, 4, 40)
	}
	if find(g.arrive(1000, 2), StartAttempt) == nil {
		t.Error("refused at four in flight after a quiet time")
	}
}

// Requests that servers decline must lower what is admitted.
func TestDeclinedRequestsLowerConcurrency(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	before := g.balancer.loadModel.Concurrency()
	for id := RequestID(1); id <= 10; id++ {
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 3, 40)
		}
		if a := find(g.arrive(id, 2), StartAttempt); a != nil {
			g.done(id, 0, a.Server, Declined)
		}
	}
	if after := g.balancer.loadModel.Concurrency(); after >= before {
		t.Errorf("concurrency %.1f, then %.1f", before, after)
	}
}

// An answer after the latency objective earns nothing, but if the attempt ended there the client would send again: the work was
// wasted, and more of it follows. So an attempt is given as long as the client waits.
func TestLateAnswersAreWaitedFor(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LateWeight = 0
	}
	g := newRig(t, cfg, 4)
	if s := find(g.arrive(1, 2), StartAttempt); s == nil || s.After < 900-g.balancer.responseMargin {
		t.Errorf("an attempt for a client that waits 900 ms: %+v", s)
	}
}

// Just after the start the quick requests alone are answered, so that reports look too short and responses, by them,
// too long. What is learned from those would refuse much of what comes in the seconds after.
func TestStartupAnswersAreNotSamples(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	for id, want := range map[RequestID]bool{1: false, 2: true} {
		g.now = 1000 + float64(id-1)*startupPeriod
		for s := range g.balancer.byID {
			g.report(s, 1, 40)
		}
		s := find(g.arrive(id, 0), StartAttempt)
		g.now += 40
		g.done(id, 0, s.Server, OK)
		if got := g.balancer.loadModel.Classes[0].Count > 0; got != want {
			t.Errorf("%.0f ms after the start: sampled %t, want %t", g.now-1000, got, want)
		}
		g.balancer.loadModel.Classes[0].Count = 0
	}
}

// Where wasted work costs, the mean response must leave much of the latency objective at a server that is full: many take far
// longer than the mean, and take a place from others. At one with places left an attempt may fail at little cost. And one
// server's mean, which a few costly requests raise, counts up to 1.5 times the median of all.
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
		"full, half of the objective":              {4, 200, 200, true},
		"full, more than half of it":               {4, 250, 250, false},
		"places left, more than half of it":        {1, 250, 250, true},
		"places left, somewhat beyond it":          {1, 460, 460, true},
		"places left, far beyond it":               {1, 500, 500, false},
		"full, raised mean of a fast fleet":        {4, 900, 120, true},
		"full, raised mean of a fleet not so fast": {4, 900, 170, false},
	} {
		s.rif = c.rif
		s.latency = c.latency
		g.balancer.fleetLatency = c.median
		if got := g.balancer.admits(s, r); got != c.want {
			t.Errorf("%s: a response of about %.0f ms for an objective of 400: admitted %t", name, g.balancer.expectedLatency(s, 0, s.rif), got)
		}
	}
}

// Where no server reports the load of all instances, a busy instance's tenants are within their quotas as long as its own traffic
// is shared by them.
func TestQuotasAtABusyInstance(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.Tenants = 300, []Tenant{{Quota: 300}, {Quota: 100}}
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	over := [2]int{}
	for n := range 4000 { // 40 a second: 30 times the mean, nine in ten of the second tenant, which has a quarter of the quotas
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
