package emulator

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"

	"plankrouter/policy"
)

func TestWaitsHoldASlotAndNoCore(t *testing.T) {
	cfg := idealQueue(1, 1e6, 0.5)
	cfg.Classes[0].WaitMs = 20
	if r := play(t, cfg, nil); math.Abs(r.MeanMs/40-1) > 0.06 { // 20 ms as in M/M/1 with processor sharing, plus 20 ms of waiting
		t.Errorf("mean latency with a wait of 20 ms: %.2f ms, want 40", r.MeanMs)
	}
	cfg.Server.Slots = 1
	cfg.Rate = 0.5 * 1000 / 30
	if r := play(t, cfg, nil); r.MeanMs < 1.5*30 { // the slot is busy half of the time, the core a sixth
		t.Errorf("mean latency with one slot, busy half of the time: %.2f ms, want at least %v", r.MeanMs, 1.5*30)
	}
}

func TestLognormalWorkQueuesAsMG1(t *testing.T) {
	wait := func(set func(*Class)) (mean float64) {
		for seed := range uint64(4) {
			cfg := idealQueue(1, 1, 0.8)
			cfg.Seed = 1 + seed
			set(&cfg.Classes[0])
			mean += play(t, cfg, nil).WaitMs / 4
		}
		return mean
	}
	const spread = 0.8 / 0.2 * 10 * (1 + 0.5*0.5) / 2 // Pollaczek–Khinchine formula
	if got := wait(func(c *Class) { c.Spread = 0.5 }); math.Abs(got/spread-1) > 0.06 {
		t.Errorf("mean wait %.2f ms, want %.2f as in M/G/1", got, spread)
	}
	const noisy = 0.8 / 0.2 * 10 * 4 / 2 // exponential work times a factor with mean 1 and variance 1
	if got := wait(func(c *Class) { c.Noise = 1 }); math.Abs(got/noisy-1) > 0.12 {
		t.Errorf("mean wait with noise %.2f ms, want %.2f as in M/G/1", got, noisy)
	}
}

func TestDropsCancelledRemovesQueuedWork(t *testing.T) {
	cfg := idealQueue(1, 1, 2)
	cfg.Classes[0].DeadlineMs, cfg.Seconds = 200, 20
	kept := play(t, cfg, nil)
	cfg.Server.DropsCancelled = true
	dropped := play(t, cfg, nil)
	if kept.Waste < 0.45 || dropped.Waste > 0.4 || dropped.Requests != kept.Requests {
		t.Errorf("waste at a load of 2: %.2f, with DropsCancelled %.2f",
			kept.Waste, dropped.Waste)
	}
	if inFlight := kept.Rows[19].InFlight; inFlight < 500 || dropped.Rows[19].InFlight > 100 {
		t.Errorf("in flight at the end: %d, with DropsCancelled %d", inFlight, dropped.Rows[19].InFlight)
	}
}

// eventObserver wraps a policy and calls event with each of its events.
type eventObserver struct {
	Policy
	event func(e *policy.Event)
}

func (o eventObserver) Handle(now policy.Ms, e *policy.Event, out []policy.Action) []policy.Action {
	o.event(e)
	return o.Policy.Handle(now, e, out)
}

func TestNoReportRemovesOnlyReports(t *testing.T) {
	for _, noReport := range []bool{false, true} {
		cfg := configWith("module")
		cfg.Server.NoReport, cfg.Seconds = noReport, 3
		responses, withLoad := 0, 0
		play(t, cfg, func(_ int, p Policy) Policy {
			return eventObserver{p, func(e *policy.Event) {
				if e.Kind == policy.ProbeEnded && e.Status == policy.OK {
					if responses++; e.Report != (policy.Report{}) {
						withLoad++
					}
				}
			}}
		})
		if responses < 100 || (withLoad == 0) != noReport {
			t.Errorf("no_report %t: %d probe responses, %d of them with a load", noReport, responses, withLoad)
		}
	}
}

func TestSilentZoneReturnsWarm(t *testing.T) {
	cfg := configWith("module", Fault{Name: "silence", For: 4, Zone: 2})
	r := play(t, cfg, nil)
	if r.Rows[1].Silent != 0 || r.Rows[4].Silent != 2 || r.Rows[7].Silent != 0 || !r.Ok() {
		t.Errorf("a zone of 2 servers is silent from 3 to 7 s: %s", text(t, r))
	}
	if all := strings.Join(r.Timeline, "\n"); strings.Contains(all, "overloaded in slow start") || !strings.Contains(all, "zone 2") {
		t.Errorf("its servers should have the same processes as before: %s", all)
	}
	cfg.Faults[0].Zone = 9
	if _, err := Run(context.Background(), cfg, Options{}); err == nil || !strings.Contains(err.Error(), "zone") {
		t.Errorf("zone 9 of %d: %v", cfg.Zones, err)
	}
}

func TestOverloadsHaveTheSameTraffic(t *testing.T) {
	var runs []Overload
	for _, n := range []int{4, 40} {
		runs = append(runs, Overload{
			Sidecars: n, Servers: 10, Load: 0.5, Reports: "full", Event: "burst", Seed: 3,
			Policy: "least",
		})
	}
	reported := 0
	results, err := PlayOverloads(context.Background(), runs, 2, func(*OverloadResult) { reported++ })
	if err != nil {
		t.Fatal(err)
	}
	a, b := results[0], results[1]
	if reported != 2 || a.Sidecars != 4 || b.Sidecars != 40 || a.Report.Requests != b.Report.Requests {
		t.Fatalf("%d reported; %d sidecars get %d requests, %d get %d", reported, a.Sidecars, a.Report.Requests, b.Sidecars,
			b.Report.Requests)
	}
	for i, row := range a.Rows {
		if row.Requests != b.Rows[i].Requests {
			t.Errorf("second %d: %d and %d requests", i, row.Requests, b.Rows[i].Requests)
		}
	}
	cfg, err := runs[0].Config()
	if err != nil {
		t.Fatal(err)
	}
	if rate := 0.5 * overloadUsableCapacity * cfg.capacity() * 1000 / cfg.Classes[0].WorkMs; math.Abs(cfg.Rate-rate) > 1e-9 {
		t.Errorf("%v requests a second, want %v", cfg.Rate, rate)
	}
	var out bytes.Buffer
	if err := WriteOverloads(&out, results, true); err != nil || strings.Count(out.String(), "\n") < 70 {
		t.Errorf("%v: %s", err, out.String())
	}
	if _, err := (Overload{Sidecars: 1, Servers: 1, Policy: "least", Event: "tea"}).Config(); err == nil ||
		!strings.Contains(err.Error(), `"tea"`) {
		t.Errorf("unknown event: %v", err)
	}
}

func TestSecondsUntilRecovered(t *testing.T) {
	rows := make([]Row, overloadSeconds+5)
	setInTime := func(from, to int, v float64) {
		for i := from; i < to; i++ {
			rows[i] = Row{Second: i, Requests: 10, InTime: v}
		}
	}
	setInTime(0, overloadSeconds, 0.9)
	if got := secondsUntilRecovered(rows, 12, 0.85); got != 0 {
		t.Errorf("never low: recovered after %v s, want 0", got)
	}
	setInTime(10, 15, 0.1)
	if got := secondsUntilRecovered(rows, 12, 0.85); got != 3 {
		t.Errorf("low to 15 s, event ends at 12 s: recovered after %v s, want 3", got)
	}
	setInTime(10, overloadSeconds, 0.1)
	if got := secondsUntilRecovered(rows, 12, 0.85); got != -1 {
		t.Errorf("low to the end: recovered after %v s, want -1", got)
	}
	if got := inTime(rows, 8, 12); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("half high, half low: %v, want 0.5", got)
	}
}
