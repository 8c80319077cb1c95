package emulator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// play simulates a run, which must not fail.
func play(t *testing.T, cfg Config, wrap func(int, Policy) Policy) *Report {
	t.Helper()
	r, err := Run(context.Background(), cfg, Options{Wrap: wrap})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// text returns the report in all its output formats, one after another.
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

// brief returns the part of a report that explains a failed test.
func brief(r *Report) string {
	return fmt.Sprintf("requests %d, service %.3f, %.1f ms, %.3f attempts, %.3f handshakes, rejected %d, lost %d, "+
		"broken %v; %v", r.Requests, r.Service, r.MeanMs, r.Attempts, r.Handshakes, r.Rejected, r.Lost, r.Broken,
		r.Timeline)
}

// idealQueue returns a configuration without network delays, limits and losses: one server with the given numbers of slots and
// cores of speed 1, and one class with a mean of 10 ms of work. load is the utilization of the cores.
func idealQueue(cores float64, slots int, load float64) Config {
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

func TestScheduleKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var s schedule
	type entry struct{ time, seq int }
	var got, want []entry
	for i := range 5000 {
		d := entry{rng.IntN(50), i}
		want = append(want, d)
		s.at(float64(d.time), func() { got = append(got, d) })
	}
	slices.SortStableFunc(want, func(x, y entry) int { return x.time - y.time })
	for len(s.heap) > 0 {
		s.next()()
	}
	if !slices.Equal(got, want) {
		t.Error("events are not in order of time, then of scheduling")
	}
}

func TestSameDaySameBytes(t *testing.T) {
	cfg := Default(6, 12)
	cfg.Seconds, cfg.Clients.Impatient = 12, 0.2
	for _, name := range []string{"deploy", "silence", "restart", "neighbour", "directory"} {
		cfg.Faults = append(cfg.Faults, Fault{Name: name})
	}
	cfg.Faults[2].For = 0.02 // sidecars restart before the clients retry; the order of the retries would show a map iteration
	first := text(t, play(t, cfg, nil))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if text(t, play(t, cfg, nil)) != first {
		t.Error("the report differs with GOMAXPROCS 1")
	}
	cfg.Seed++
	if text(t, play(t, cfg, nil)) == first {
		t.Error("another seed gives the same report")
	}
}

// configWith returns a configuration of 12 s with faults that begin at 3 s.
func configWith(policy string, faults ...Fault) Config {
	c := Default(4, 10)
	c.Policy, c.Seconds, c.Faults = policy, 12, faults
	for i := range faults {
		faults[i].At = 3
	}
	return c
}

func TestEmptyRuns(t *testing.T) {
	none := configWith("module")
	none.Rate = 0
	if r := play(t, none, nil); r.Requests != 0 || r.Service != 1 || !r.Ok() || strings.Contains(text(t, r), "NaN") {
		t.Errorf("without arrivals: %s", brief(r))
	}
	all := configWith("module", Fault{Name: "silence", For: 20, Part: 1})
	if r := play(t, all, nil); r.Rows[8].Service != 0 || !r.Ok() {
		t.Errorf("with all servers silent: %s", brief(r))
	}
}

func TestPlansAreChecked(t *testing.T) {
	for plan, want := range map[string]string{
		`{"servrs":3}`:                              "servrs",
		"{\n\"rate\":\"x\"}":                        "line 2",
		"{\"rate\":1\n\n]":                          "line 3",
		`{} {}`:                                     "after the JSON object",
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
	before := Default(1, 1)
	got := before
	plan := `{"zones":2,"kinds":[{"share":1,"cores":8,"speed":[1,1]}]}`
	if err := ReadPlan(strings.NewReader(plan), &got); err != nil ||
		got.Zones != 2 || len(got.Kinds) != 1 || len(got.Classes) != 3 || before.Kinds[0].Cores != 4 {
		t.Errorf("%+v %v; before it %+v", got, err, before)
	}
}
