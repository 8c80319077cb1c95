package emulator

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"plankrouter/policy"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// play runs a day that must not fail.
func play(t *testing.T, cfg Config, wrap func(int, Policy) Policy) *Report {
	t.Helper()
	r, err := Run(context.Background(), cfg, Options{Wrap: wrap})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// text is all that a report writes.
func text(t *testing.T, r *Report) string {
	t.Helper()
	var b bytes.Buffer
	for _, write := range []func() error{
		func() error { return r.Write(&b) }, func() error { return r.WriteJSON(&b) },
		func() error { return r.WriteRows(&b) },
	} {
		if err := write(); err != nil {
			t.Fatal(err)
		}
	}
	return b.String()
}

// brief is the part of a report that says why a test has failed.
func brief(r *Report) string {
	return fmt.Sprintf("requests %d, service %.3f, %.1f ms, %.3f attempts, %.3f handshakes, turned away %d, lost %d, "+
		"broken %v; %v", r.Requests, r.Service, r.MeanMs, r.Attempts, r.Handshakes, r.Rejected, r.Lost, r.Broken,
		r.Timeline)
}

// plain is a world without delays, limits and losses: one server with so many cores of speed 1 and slots, and one class
// of 10 ms.
func plain(cores float64, slots int, load float64) Config {
	c := Default(1, 1)
	c.Policy, c.Seed, c.Zones, c.Rate, c.Seconds = "random", 2, 1, load*cores*100, 400/cores
	c.Kinds = []Kind{{Fraction: 1, Cores: cores, Speed: [2]float64{1, 1}}}
	c.Classes = []Class{{Name: "x", Fraction: 1, WorkMs: 10, LatencyObjectiveMs: 5e3, DeadlineMs: 5e3, PriorityWeight: 1}}
	c.Tenants = nil
	c.Network = Network{ConnectTimeout: 150}
	c.Clients = Clients{Timeout: [2]float64{1, 1}}
	c.Server.Slots, c.Server.QueueCapacity, c.Server.Connections = slots, 1e6, 1e6
	c.Server.OverloadLoss, c.Server.TableLoss, c.Server.Handshake, c.Server.JamAfter = 0, 0, 0, 1e9
	return c
}

// erlangWait is the mean wait of M/M/c with a mean service time of 10 ms, by Erlang's C formula.
func erlangWait(cores int, load float64) float64 {
	a, term, sum := float64(cores)*load, 1.0, 0.0
	for k := range cores {
		sum += term
		term *= a / float64(k+1)
	}
	queued := term / (1 - load)
	return queued / (sum + queued) * 10 / (float64(cores) * (1 - load))
}

func TestQueuesAreThoseOfTheory(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.8}} {
		want := erlangWait(c.cores, c.load)
		first := play(t, plain(float64(c.cores), c.cores, c.load), nil)
		if off := first.WaitMs/want - 1; math.Abs(off) > 0.06 {
			t.Errorf("%d cores, load %v, in order of arrival: waits %.3f ms, M/M/c has %.3f: %+.1f%%", c.cores, c.load,
				first.WaitMs, want, 100*off)
		}
		shared := play(t, plain(float64(c.cores), 1e6, c.load), nil) // sharing has the same mean time in all
		if off := shared.MeanMs/(want+10) - 1; math.Abs(off) > 0.06 || shared.WaitMs != 0 {
			t.Errorf("%d cores, load %v, shared: %.3f ms in all, theory has %.3f: %+.1f%%", c.cores, c.load,
				shared.MeanMs, want+10, 100*off)
		}
	}
}

func TestScheduleKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var a schedule
	type due struct{ at, entered int }
	var got, want []due
	for i := range 5000 {
		d := due{rng.IntN(50), i}
		want = append(want, d)
		a.at(float64(d.at), func() { got = append(got, d) })
	}
	slices.SortStableFunc(want, func(x, y due) int { return x.at - y.at })
	for len(a.heap) > 0 {
		a.next()()
	}
	if !slices.Equal(got, want) {
		t.Error("events come in another order than by time, then by entry")
	}
}

func TestSameDaySameBytes(t *testing.T) {
	cfg := Default(6, 12)
	cfg.Seconds, cfg.Clients.Impatient = 12, 0.2
	for _, name := range []string{"deploy", "silence", "restart", "neighbour", "directory"} {
		cfg.Faults = append(cfg.Faults, Fault{Name: name})
	}
	cfg.Faults[2].For = 0.02 // back before the clients' next tries, whose order could show a map's
	first := text(t, play(t, cfg, nil))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if text(t, play(t, cfg, nil)) != first {
		t.Error("one processor: another report")
	}
	cfg.Seed++
	if text(t, play(t, cfg, nil)) == first {
		t.Error("another seed: the same report")
	}
}

// day is a world for troubles and mutants: the calm part, the trouble from 3 s on.
func day(policy string, troubles ...Fault) Config {
	c := Default(4, 10)
	c.Policy, c.Seconds, c.Faults = policy, 12, troubles
	for i := range troubles {
		troubles[i].At = 3
	}
	return c
}

func TestEachFaultChangesWhatItShould(t *testing.T) {
	calm := map[string]*Report{}
	for _, p := range []string{"random", "module"} {
		calm[p] = play(t, day(p), nil)
	}
	for _, c := range []struct {
		policy string
		t      Fault
		shows  func(r, calm *Report) bool
	}{
		{"random", Fault{Name: "silence", For: 5, Part: 0.2}, func(r, c *Report) bool {
			return r.Rows[5].Silent == 2 && r.Rows[9].Silent == 0 && r.Service < c.Service-0.02
		}},
		{"random", Fault{Name: "failures", For: 5, Part: 0.3, Size: 1}, func(r, c *Report) bool {
			return r.Attempts > c.Attempts+0.05 && r.Classes[2].Service < c.Classes[2].Service-0.05
		}},
		{"random", Fault{Name: "neighbour", For: 6, Part: 0.5, Size: 0.6, Every: 1}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5
		}},
		{"random", Fault{Name: "costly", For: 6, Part: 0.05, Size: 20, Class: "tile"}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5 && r.Requests == c.Requests
		}},
		{"module", Fault{Name: "deploy", For: 5, Part: 0.5, Size: 0.1, Every: 2}, func(r, c *Report) bool {
			return r.Rejected > c.Rejected && r.Handshakes > c.Handshakes && r.Timeline != nil
		}},
		{"random", Fault{Name: "cutoff", For: 5}, func(r, c *Report) bool {
			return r.Service < c.Service-0.05 && r.Rows[11].Service > 0.9
		}},
		{"random", Fault{Name: "restart", For: 1, Part: 0.5}, func(r, c *Report) bool {
			return r.Lost > 0 && r.Rows[3].Service < c.Rows[3].Service-0.1
		}},
		{"random", Fault{Name: "pause", For: 1.5, Part: 0.4}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5
		}},
		{"random", Fault{Name: "resets", For: 5, Part: 0.2}, func(r, c *Report) bool {
			return r.Attempts > c.Attempts+0.05 && r.Handshakes > c.Handshakes+0.05
		}},
		{"module", Fault{Name: "surge", For: 4, Size: 3}, func(r, c *Report) bool {
			return r.Rows[4].Requests > 2*c.Rows[4].Requests && r.Rows[4].Service < c.Rows[4].Service
		}},
	} {
		if r := play(t, day(c.policy, c.t), nil); !c.shows(r, calm[c.policy]) || !r.Ok() {
			t.Errorf("%s does not show, or a rule is broken: %s", c.t.Name, brief(r))
		}
	}
	deploy := Fault{Name: "deploy", For: 3, Part: 0.5, Size: 0.1, Every: 1}
	told := play(t, day("module", deploy), nil)
	slow := play(t, day("module", Fault{Name: "release-slow", For: 3, Part: 0.5, Size: 2, Every: 1}), nil)
	mute := play(t, day("module", Fault{Name: "release-mute", For: 3, Part: 0.5, Every: 1}), nil)
	if slow.MeanMs < told.MeanMs+10 || slow.Requests != told.Requests || mute.Probes < told.Probes+0.1 {
		t.Errorf("a deploy: %s, %.3f probes; a slow one: %s; a mute one: %.3f probes", brief(told), told.Probes,
			brief(slow), mute.Probes)
	}
	hidden := play(t, day("module", deploy, Fault{Name: "directory", For: 8}), nil)
	if hidden.Service >= told.Service-0.02 {
		t.Errorf("a deploy that the directory hides: %.3f are served, one that it tells: %.3f", hidden.Service,
			told.Service)
	}
}

// mutant is a host's module with one fault.
type mutant struct {
	Policy
	event  func(*policy.Event)
	action func(now policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action
}

func (m mutant) Handle(now policy.Ms, e *policy.Event, out []policy.Action) []policy.Action {
	if m.event != nil {
		m.event(e)
	}
	out = m.Policy.Handle(now, e, out)
	if m.action != nil {
		out = m.action(now, e, out)
	}
	return out
}

func TestJudgeNamesEachBrokenRule(t *testing.T) {
	const victim = 7 // of sidecar 0's requests
	for _, c := range []struct {
		name    string
		rule    Rule
		trouble Fault
		make    func(Policy) mutant
		request uint32 // 0 = any
		what    string
	}{
		{"forgets a request", OneAnswer, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				return slices.DeleteFunc(acts, func(a policy.Action) bool { return a.Request == victim })
			}}
		}, victim, "no answer"},
		{"answers twice", OneAnswer, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
				if e.Kind == policy.RequestArrived && e.Request == victim { // the attempt is out
					acts = append(acts, policy.Action{Kind: policy.FailRequest, Request: victim},
						policy.Action{Kind: policy.FailRequest, Request: victim})
				}
				return acts
			}}
		}, victim, "second time"},
		{"sends two copies", OneAttempt, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				for _, a := range acts {
					if a.Kind == policy.StartAttempt && a.Request == victim {
						acts = append(acts, a)
					}
				}
				return acts
			}}
		}, victim, "an attempt is out"},
		{"repeats orders", NoRerun, Fault{Name: "failures", For: 5, Part: 0.5, Size: 1}, func(p Policy) mutant {
			orders := map[policy.RequestID]bool{}
			return mutant{Policy: p, action: func(_ policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
				if e.Kind == policy.RequestArrived && e.Class == 2 {
					orders[e.Request] = true
				}
				switch {
				case e.Kind != policy.AttemptEnded || e.Final || !orders[e.Request]:
					return acts
				case e.Attempt == 0 && e.Status == policy.Failed:
					return []policy.Action{{Kind: policy.StartAttempt, Request: e.Request, Server: e.Server, After: 200}}
				}
				return []policy.Action{{Kind: policy.FailRequest, Request: e.Request}}
			}}
		}, 0, "order"},
		{
			"forgets drains", Drained,
			Fault{Name: "deploy", For: 4, Part: 0.4, Size: 0.2, Every: 4},
			func(p Policy) mutant {
				return mutant{Policy: p, event: func(e *policy.Event) {
					e.Complete = false
					e.Servers = slices.DeleteFunc(slices.Clone(e.Servers),
						func(s policy.ServerInfo) bool { return s.Health != policy.Ready })
				}}
			}, 0, "after the grace",
		},
		{"runs to the newest server", ColdServer, Fault{Name: "silence", For: 2, Part: 0.1}, func(p Policy) mutant {
			var newest policy.ServerInfo
			return mutant{p, func(e *policy.Event) {
				for _, s := range e.Servers {
					if s.StartedAt > newest.StartedAt || s.ID == newest.ID {
						newest = s
					}
				}
			}, func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				for i := range acts {
					if acts[i].Kind == policy.StartAttempt && newest.Health == policy.Ready {
						acts[i].Server = newest.ID
					}
				}
				return acts
			}}
		}, 0, "fell it"},
	} {
		cfg := day("random", c.trouble)
		cfg.Rate = 100 // so few that no cold server is pushed over by chance
		cfg.Discovery.Late = [2]float64{100, 300}
		if sound := play(t, cfg, nil); !sound.Ok() {
			t.Errorf("%s: the sound host breaks a rule, too: %s", c.name, brief(sound))
		}
		r := play(t, cfg, func(n int, p Policy) Policy {
			if n == 0 || c.request == 0 {
				return c.make(p)
			}
			return p
		})
		i := slices.IndexFunc(r.Breaches, func(b Breach) bool {
			return b.Rule == c.rule && (c.request == 0 || b.Request == c.request && b.Sidecar == 0) &&
				strings.Contains(b.What+strings.Join(b.Steps, "\n"), c.what) && len(b.Steps) > 0
		})
		if i < 0 {
			t.Errorf("%s: not found among %v", c.name, r.Breaches)
		} else if len(r.Broken) != 1 {
			t.Errorf("%s: other rules are held broken, too: %v", c.name, r.Broken)
		}
		if c.rule == ColdServer {
			cfg.Rules.OverloadMultiple = 1e6
			if r := play(t, cfg, func(_ int, p Policy) Policy { return c.make(p) }); r.Falls > 0 || !r.Ok() {
				t.Errorf("a server that bears any load falls %d times", r.Falls)
			}
		}
	}
}

func TestJamLasts(t *testing.T) {
	cfg := day("random", Fault{Name: "surge", For: 4, Size: 2.5})
	cfg.Clients.Retries = 0
	r := play(t, cfg, nil)
	cfg.Server.JamSlow = 1 // a jam that costs nothing
	free := play(t, cfg, nil)
	if jam, none := r.Rows[10].Service, free.Rows[10].Service; r.Jams == 0 || r.Rows[9].Jammed == 0 || jam > none-0.3 {
		t.Errorf("%d jams; 3 s after the surge %.3f are served, without the price of jams %.3f", r.Jams, jam, none)
	}
}

func TestEmptyDays(t *testing.T) {
	none := day("module")
	none.Rate = 0
	if r := play(t, none, nil); r.Requests != 0 || r.Service != 1 || !r.Ok() || strings.Contains(text(t, r), "NaN") {
		t.Errorf("no arrivals: %s", brief(r))
	}
	all := day("module", Fault{Name: "silence", For: 20, Part: 1})
	if r := play(t, all, nil); r.Rows[8].Service != 0 || !r.Ok() {
		t.Errorf("all servers silent: %s", brief(r))
	}
}

func TestCompareIsPaired(t *testing.T) {
	a := day("least", Fault{Name: "neighbour"})
	a.Seconds = 6
	c, err := Compare(context.Background(), a, a, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range c.Metrics {
		if d.Median != 0 || d.More+d.Less != 0 || d.Discernible {
			t.Errorf("a setting and itself: %+v", d)
		}
	}
	worlds := map[string][]float64{} // what a policy must leave as it is
	for _, policy := range []string{"module", "random"} {
		cfg := day(policy, Fault{Name: "deploy", For: 3, Part: 0.3, Size: 0.1, Every: 1},
			Fault{Name: "silence", For: 4})
		w, err := newWorld(cfg, Options{})
		if err == nil {
			err = w.play(context.Background())
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range w.machines {
			worlds[policy] = append(worlds[policy], m.speed, m.startedAt, m.startCapacity, m.warmUpTime)
		}
		worlds[policy] = append(worlds[policy], w.judge.workRequested)
	}
	if !slices.Equal(worlds["module"], worlds["random"]) {
		t.Errorf("two policies meet two worlds:\n%v\n%v", worlds["module"], worlds["random"])
	}
	if d := differ("x", []float64{1, 2, 3, 4, 5, 6}, []float64{2, 4, 4, 6, 6, 9}); d.Median != 1.5 || d.A != 3.5 ||
		d.SpreadA != 2.5 || d.More != 6 || !d.Discernible || math.Abs(pairedSignTest(1, 5)-14.0/64) > 1e-9 {
		t.Errorf("%+v; sign test of 1 to 5: %v", d, pairedSignTest(1, 5))
	}
}

func TestPlansAreChecked(t *testing.T) {
	for plan, want := range map[string]string{
		`{"servrs":3}`:                              "servrs",
		"{\n\"rate\":\"x\"}":                        "line 2",
		"{\"rate\":1\n\n]":                          "line 3",
		`{} {}`:                                     "more follows",
		`{"rate":-1}`:                               "rate",
		`{"policy":"tea"}`:                          "tea",
		`{"kinds":[]}`:                              "kinds",
		`{"tenants":[{"name":"x"}]}`:                "share above 0",
		`{"classes":[{"name":"x"}]}`:                "classes[0].work_ms",
		`{"troubles":[{"name":"tea"}]}`:             "troubles[0].name",
		`{"troubles":[{"name":"deploy","size":2}]}`: "size",
	} {
		cfg := Default(1, 1)
		err := ReadPlan(strings.NewReader(plan), &cfg)
		if err == nil {
			err = cfg.Check()
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", plan, err)
		}
	}
	was := Default(1, 1)
	got := was
	plan := `{"zones":2,"kinds":[{"share":1,"cores":8,"speed":[1,1]}]}`
	if err := ReadPlan(strings.NewReader(plan), &got); err != nil ||
		got.Zones != 2 || len(got.Kinds) != 1 || len(got.Classes) != 3 || was.Kinds[0].Cores != 4 {
		t.Errorf("%+v %v; before it %+v", got, err, was)
	}
}

func TestWhatTakesPower(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*machine)
		want   float64
	}{
		"nothing":      {func(*machine) {}, 4},
		"crowded":      {func(m *machine) { m.running = make([]*job, 26) }, 4 * (1 - 0.04*2.5)},
		"very crowded": {func(m *machine) { m.running = make([]*job, 400) }, 4 * 0.6},
		"half table":   {func(m *machine) { m.conns = make([]*conn, 200) }, 4 * 0.9},
		"jam":          {func(m *machine) { m.jammed = true }, 4 / 2.9},
		"neighbour":    {func(m *machine) { m.host.taken = []float64{0.25} }, 3},
		"probes":       {func(m *machine) { m.busy(500) }, 3},
		"cold":         {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 3000 }, 4 * 0.6},
		"warm again":   {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 500 }, 4},
	} {
		cfg := Default(1, 1)
		cfg.Kinds = []Kind{{Fraction: 1, Cores: 4, Speed: [2]float64{1, 1}}}
		w, err := newWorld(cfg, Options{})
		if err != nil {
			t.Fatal(err)
		}
		w.now = 2000
		m := w.machines[0]
		if c.change(m); math.Abs(m.power()-c.want) > 1e-9 {
			t.Errorf("%s: %v cores, want %v", name, m.power(), c.want)
		}
	}
}

func TestServersHaveLimits(t *testing.T) {
	cfg := day("module")
	free := play(t, cfg, nil)
	cfg.Server.Connections = 2
	if few := play(t, cfg, nil); few.MaxConns != 2 || few.Service > free.Service-0.1 {
		t.Errorf("two connections each: %d at most, %s", few.MaxConns, brief(few))
	}
	cfg = day("module")
	cfg.Server.MaxProbes = 2
	if few := play(t, cfg, nil); few.Rows[11].InFlight <= free.Rows[11].InFlight || few.CrossZone <= free.CrossZone {
		t.Errorf("two probes a second each: held %d, crossings %.3f; all: %d, %.3f", few.Rows[11].InFlight, few.CrossZone,
			free.Rows[11].InFlight, free.CrossZone)
	}
}

// Neighbours stay while processes come and go beside them, and leave nothing behind.
func TestNeighboursOutliveProcesses(t *testing.T) {
	cfg := Default(1, 4)
	cfg.Rate = 0
	for _, size := range []float64{0.3, 0.7} {
		cfg.Faults = append(cfg.Faults, Fault{Name: "neighbour", At: 2, For: 12, Part: 1, Size: size, Every: 1})
	}
	cfg.Faults = append(cfg.Faults, Fault{Name: "deploy", At: 3, For: 6, Part: 1, Size: 0.25, Every: 1})
	w, err := newWorld(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	robbed := false // a process that began beside a neighbour, or one before it came
	for w.heap[0].at <= 20e3 {
		w.next()()
		for _, m := range w.machines {
			if p := m.power(); p > m.capacity() {
				t.Fatalf("at %v ms server %d does %v of %v", w.now, m.id, p, m.capacity())
			}
		}
		last := w.machines[len(w.machines)-1]
		robbed = robbed || len(w.machines) == 8 && last.power() < 0.8*last.capacity()
	}
	for _, m := range w.machines {
		if m.power() < 0.99*m.capacity() {
			t.Errorf("server %d does %v of %v for good", m.id, m.power(), m.capacity())
		}
	}
	if !robbed {
		t.Error("no neighbour was beside a process that had come after it")
	}
}

func TestDiscoveryThatIsDownLosesUpdates(t *testing.T) {
	cfg := Default(2, 3)
	cfg.Rate, cfg.Discovery = 0, Discovery{Late: [2]float64{100, 100}, Repair: 1}
	w, err := newWorld(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	until := func(t policy.Ms) {
		for w.heap[0].at <= t {
			w.next()()
		}
	}
	until(1500)
	m := w.machines[1]
	w.discovery.change(m, policy.Draining)
	until(1550)
	w.discovery.stop() // with that still on its way
	until(3000)
	w.discovery.change(m, policy.Gone)
	until(4000)
	if h := w.sidecars[0].known[m.id].health; h != policy.Ready {
		t.Errorf("a directory that is down has told %v", h)
	}
	w.sidecars[1].kill()
	w.sidecars[1].start()
	if k := w.sidecars[1].known[m.id]; k == nil || k.health != policy.Draining {
		t.Errorf("a sidecar that starts meanwhile knows %+v", k)
	}
	w.discovery.restart()
	until(4200)
	for _, sc := range w.sidecars {
		if h := sc.known[m.id].health; h != policy.Gone {
			t.Errorf("after its restart sidecar %d has %v", sc.number, h)
		}
	}
}
