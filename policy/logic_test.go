package policy

import (
	"plankrouter/internal/probing"
	"plankrouter/internal/subset"
	"plankrouter/policy/internal/outlier"
	"testing"
)

// testConfig has one class of each kind and ten servers' worth of room.
func testConfig() Config {
	return Config{
		Classes: []Class{
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 1, LateWeight: 0.5, Idempotency: Idempotent},
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 2, LateWeight: 0.5, Idempotency: WithIdempotencyKey, KeyScope: ScopeCell, KeyWindow: 600},
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 3, LateWeight: 0.5, Idempotency: NonIdempotent},
		},
		Instances: 2, Probes: true, Cancel: true, MaxAttempts: 3, Round: 5,
		StartCapacity: 0.3, WarmUpTime: 9000, OverloadMultiple: 2.5, OverloadWindow: 2000,
	}
}

// rig drives one Balancer by hand.
type rig struct {
	t   testing.TB
	b   *Balancer
	now Ms
}

func newRig(t testing.TB, cfg Config, servers int) *rig {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, b: b, now: 1000}
	g.do(Event{Kind: Started})
	list := make([]ServerInfo, servers)
	for i := range list {
		list[i] = ServerInfo{ID: ServerID(i + 1), Health: Ready, Cell: i / 2}
	}
	g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
	for i := range list {
		g.report(ServerID(i+1), 1, 40)
	}
	return g
}

func (g *rig) do(e Event) []Action { return g.b.Handle(g.now, &e, nil) }

func (g *rig) report(s ServerID, rif, latency float64) {
	g.do(Event{Kind: ProbeEnded, Server: s, Elapsed: 1, Report: Report{HasRIF: true, HasLatency: true, RIF: rif, Latency: latency}})
}

func (g *rig) arrive(id RequestID, class int) []Action {
	return g.answer(g.do(Event{Kind: RequestArrived, Request: id, Class: class, TimeLeft: 900}))
}

func (g *rig) done(id RequestID, attempt int, s ServerID, st Status) []Action {
	return g.answer(g.do(Event{
		Kind: AttemptEnded, Request: id, Attempt: attempt, Server: s, Status: st, Elapsed: 40,
		Final: st == OK,
	}))
}

// answer answers the probes that a request waits for at once, with the loads known already.
func (g *rig) answer(acts []Action) []Action {
	for i := 0; i < len(acts) && len(g.b.waitingForProbes) > 0; i++ {
		if s := g.b.byID[acts[i].Server]; acts[i].Kind == SendProbe {
			acts = append(acts, g.do(Event{
				Kind: ProbeEnded, Server: acts[i].Server, Elapsed: 1,
				Report: Report{HasRIF: true, HasLatency: true, RIF: s.rif, Latency: g.b.serviceTime(s)},
			})...)
		}
	}
	return acts
}

// pass has a request arrive and all probes and attempts that follow on it answered at once, and returns where it was sent.
func (g *rig) pass(id RequestID) (to ServerID) {
	acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
	for ; len(acts) > 0; acts = acts[1:] {
		switch a := acts[0]; a.Kind {
		case SendProbe:
			acts = append(acts, g.do(Event{
				Kind: ProbeEnded, Server: a.Server, Elapsed: 1,
				Report: Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40},
			})...)
		case StartAttempt:
			to = a.Server
			acts = append(acts, g.done(id, 0, a.Server, OK)...)
		}
	}
	return to
}

func find(acts []Action, k ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == k {
			return &acts[i]
		}
	}
	return nil
}

func TestNewRejectsBadConfig(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no classes":    func(c *Config) { c.Classes = nil },
		"negative aim":  func(c *Config) { c.Classes[0].LatencyObjective = -1 },
		"bad repeat":    func(c *Config) { c.Classes[0].Idempotency = 9 },
		"bad scope":     func(c *Config) { c.Classes[1].KeyScope = 9 },
		"negative time": func(c *Config) { c.WarmUpTime = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestFurtherAttemptsFollowTheClass(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		status Status
		again  bool
		final  ActionKind // where no attempt follows
	}{
		{"safe after error", 0, Failed, true, 0},
		{"keyed after error", 1, Failed, true, 0},
		{"unsafe after error", 2, Failed, false, FailRequest},
		{"unsafe after reset", 2, Reset, false, FailRequest},
		{"unsafe after full", 2, Declined, true, 0},
		{"unsafe after no connection", 2, ConnectFailed, true, 0},
	} {
		g := newRig(t, testConfig(), 6)
		g.b.retryBudget = 5
		first := find(g.arrive(1, c.class), StartAttempt)
		if first == nil {
			t.Fatalf("%s: not sent", c.name)
		}
		acts := g.done(1, 0, first.Server, c.status)
		next := find(acts, StartAttempt)
		if (next != nil) != c.again {
			t.Errorf("%s: next attempt %v", c.name, next)
		}
		if next != nil && c.class == 1 && (next.Server-1)/2 != (first.Server-1)/2 {
			t.Errorf("%s: left the cell: %d then %d", c.name, first.Server, next.Server)
		}
		if !c.again && find(acts, c.final) == nil {
			t.Errorf("%s: final answer missing in %v", c.name, acts)
		}
	}
}

func TestKeyedRepeatEndsWithItsWindow(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	g.b.retryBudget = 5
	first := find(g.arrive(1, 1), StartAttempt)
	g.now += 595
	acts := g.done(1, 0, first.Server, Failed)
	if find(acts, StartAttempt) != nil || find(acts, FailRequest) == nil {
		t.Errorf("after the window: %v", acts)
	}
}

func TestQuickErrorsLoseTheirAttraction(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	id, bad := RequestID(0), 0
	for range 300 {
		g.now += 20
		for s := ServerID(1); s <= 6; s++ {
			rif := 3.0
			if s == 4 {
				rif = 0 // fails at once, so that it looks idle
			}
			g.report(s, rif, 40)
		}
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

func TestSilentServerIsLeft(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	id, hung := RequestID(0), 0
	for range 200 {
		g.now += 20
		for s := ServerID(1); s <= 6; s++ {
			rif := 3.0
			if s == 4 {
				rif = 0
			}
			g.report(s, rif, 40)
		}
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

// A class with a long aim must not fill the servers until a worthier one with a tight aim finds no room.
func TestLongAimsLeaveRoomForWorthierTightOnes(t *testing.T) {
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

// A server that turns requests away as full answers fast and looks idle.
func TestFullServerLosesItsAttraction(t *testing.T) {
	g := newRig(t, testConfig(), 6)
	full := 0
	for id := RequestID(1); id <= 100; id++ {
		g.now += 20
		for s := ServerID(1); s <= 6; s++ {
			g.report(s, 3*float64(min(1, max(s, 4)-4)+min(1, 4-min(s, 4))), 40) // server 4 reports none
		}
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
		t.Errorf("%d of 100 requests went to the full server", full)
	}
}

// Attempts with few in flight must not teach that servers take only few: a burst after a quiet time would
// be refused.
func TestQuietTimesDoNotTeachSmallServers(t *testing.T) {
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

// A sidecar with little traffic has no fresh loads: its requests wait for their own probes instead of going to a
// random server, and go anyway when the probes stay unanswered.
func TestShortPoolWaitsForItsProbes(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers int // probes that are answered; idle servers but for the first
		best    bool
	}{{"answered", 3, true}, {"silent probes", 0, false}} {
		g := newRig(t, testConfig(), 8)
		g.now += 5000                           // what was known is old
		g.b.probeCredit = probing.MaxPerRequest // an earlier request has needed none
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
		for i, s := range targets[:c.answers] {
			rif := 9.0
			if i == 1 {
				rif = 0
			}
			sent = find(g.do(Event{
				Kind: ProbeEnded, Server: s, Elapsed: 1,
				Report: Report{HasRIF: true, HasLatency: true, RIF: rif, Latency: 40},
			}), StartAttempt)
		}
		g.now += probeWaitFraction*g.b.minObjective + 5
		for i := range 2*maxProbeWaits + 1 {
			if acts := g.do(Event{Kind: TimerFired, Timer: probeWaitTimer + 1}); sent == nil {
				sent = find(acts, StartAttempt)
			}
			g.now += 20 * float64(i+1)
		}
		if sent == nil || c.best && sent.Server != targets[1] {
			t.Errorf("%s: sent %v, want server %v", c.name, sent, targets)
		}
		if len(g.b.waitingForProbes) != 0 {
			t.Errorf("%s: %d requests still wait", c.name, len(g.b.waitingForProbes))
		}
	}
}

// A thousand sidecars that connect to every server fill the servers' tables: each keeps to a few, own zone first.
// Few sidecars choose among all.
func TestReachFollowsTheNumberOfSidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers, want int }{
		{1, 64, 64},
		{5, 12, 12},
		{1000, 1, 1},
		{1000, 2, 2},
		{1000, 64, 8},
		{1000, 65, 8},
		{1000, 1000, 128},
		{100000, 1000, subset.MinSize},
	} {
		cfg := testConfig()
		cfg.Instances, cfg.CrossZoneCost = c.sidecars, 0.01
		b, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		g := &rig{t: t, b: b, now: 1000}
		var list []ServerInfo
		for i := range c.servers {
			list = append(list, ServerInfo{ID: ServerID(i + 1), Zone: i % 2, Health: Ready})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		met := map[ServerID]bool{}
		for range 40 * c.servers {
			g.b.probeRandom(probing.MaxPerRequest, g.b.subsetSize())
		}
		for _, a := range g.b.actions {
			if a.Kind == SendProbe {
				met[a.Server] = true
			}
		}
		if len(met) != c.want {
			t.Errorf("%d sidecars, %d servers: %d servers probed, want %d", c.sidecars, c.servers, len(met), c.want)
		}
		for id := range met {
			if c.want < c.servers/2 && id%2 == 0 {
				t.Errorf("%d sidecars: server %d is not in the own zone", c.sidecars, id)
			}
		}
	}
}

// Being turned away as full must lower what is let in.
func TestFullTeachesCrowding(t *testing.T) {
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

// A sidecar that has sent nothing to a server must learn from its report that it fails quickly; an old report fades.
func TestReportedErrorsAreEvidence(t *testing.T) {
	for _, c := range []struct {
		errors, age float64
		ejected     bool
	}{{0, 0, false}, {1, 0, false}, {60, 0, true}, {60, 3 * outlier.HalfLife, false}} {
		g := newRig(t, testConfig(), 6)
		g.do(Event{Kind: ProbeEnded, Server: 4, Elapsed: 1, Report: Report{
			HasRIF: true, HasLatency: true,
			HasErrors: true, Latency: 40, Errors: c.errors,
		}})
		g.now += c.age
		g.do(Event{Kind: TimerFired, Timer: tickTimer})
		if got := g.b.isEjected(g.b.byID[4]); got != c.ejected {
			t.Errorf("%v errors a second, %v ms ago: ejected %t", c.errors, c.age, got)
		}
	}
}
