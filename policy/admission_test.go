package policy

import (
	"testing"
)

// A class with a long aim must not fill the servers until a worthier one with a tight aim finds no room.
func TestLongObjectivesLeaveCapacityForTighterOnes(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []Class{
		{LatencyObjective: 2000, Deadline: 4000, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: 200, Deadline: 2000, PriorityWeight: 5, Idempotency: Idempotent},
	}
	for _, c := range []struct {
		rif  float64
		sent bool
	}{{1, true}, {40, false}} {
		g := newRig(t, cfg, 4)
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, c.rif, 40)
		}
		if got := find(g.arrive(1, 0), StartAttempt) != nil; got != c.sent {
			t.Errorf("at %v in flight: sent %t", c.rif, got)
		}
	}
}

// Attempts with few in flight must not teach that servers take only few: a burst after a quiet time would
// be refused.
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

// Being turned away as full must lower what is let in.
func TestDeclinedRequestsLowerConcurrency(t *testing.T) {
	g := newRig(t, testConfig(), 4)
	before := g.b.loadModel.Concurrency()
	for id := RequestID(1); id <= 10; id++ {
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 3, 40)
		}
		if a := find(g.arrive(id, 2), StartAttempt); a != nil {
			g.done(id, 0, a.Server, Declined)
		}
	}
	if after := g.b.loadModel.Concurrency(); after >= before {
		t.Errorf("side by side %.1f, then %.1f", before, after)
	}
}

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
func TestStartupAnswersAreNotSamples(t *testing.T) {
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
func TestAdmissionLeavesMarginForLongResponses(t *testing.T) {
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

// Where nobody tells what all send, a busy sidecar's tenants are within their shares as long as its own traffic is shared so.
func TestQuotasAtABusyInstance(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.Tenants = 300, []Tenant{{Quota: 300}, {Quota: 100}}
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	over := [2]int{}
	for n := range 4000 { // 40 a second: 30 times the mean, nine in ten of the second tenant, whose share is a quarter
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
		t.Errorf("%v requests are beyond their tenants' shares", over)
	}
}
