package recovery

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

var epoch = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// windowsOf returns 20 attempts for each argument, in consecutive windows of 250 ms; the argument is the number of those served.
func windowsOf(served ...int) (attempts []fakes.Attempt) {
	for w, n := range served {
		for i := range 20 {
			due := epoch.Add(time.Duration(w*20+i) * 12500 * time.Microsecond)
			t := fakes.Attempt{
				ID: fmt.Sprint(w, i), RequestID: fmt.Sprint(w, i), Class: fakes.TileClass(), RequestedAt: due, DueAt: due,
				EndedAt: due.Add(time.Millisecond), Result: fakes.Served,
			}
			if i >= n {
				t.Result = fakes.Rejected
			}
			attempts = append(attempts, t)
		}
	}
	return attempts
}

func TestDegradation(t *testing.T) {
	ms := time.Millisecond
	healthy := slices.Repeat([]int{20}, 8)
	for name, test := range map[string]struct {
		served []int
		normal float64
		want   degradation
	}{
		"none":                           {healthy, 1, degradation{0, true, 0, 1}},
		"immediate":                      {slices.Concat([]int{5, 10}, healthy), 1, degradation{500 * ms, true, 500 * ms, 0.25}},
		"delayed":                        {slices.Concat(healthy, []int{0}, healthy), 1, degradation{2250 * ms, true, 250 * ms, 0}},
		"degraded again within a second": {slices.Concat([]int{10, 20, 20, 10}, healthy), 1, degradation{1000 * ms, true, 500 * ms, 0.5}},
		"never recovers":                 {slices.Repeat([]int{18}, 9), 1, degradation{0, false, 2000 * ms, 0.9}},
		"low baseline":                   {slices.Repeat([]int{18}, 9), 0.94, degradation{0, true, 0, 0.9}},
		"in the last second":             {slices.Concat(healthy, []int{0, 20, 20}), 1, degradation{0, true, 250 * ms, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := degradationAfter(windowsOf(test.served...), epoch, test.normal, 250*ms); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestServedFractionCountsByDueTime(t *testing.T) {
	attempts := windowsOf(0, 10, 20, 0)
	if got := servedFraction(attempts, after(250), after(750)); got != 0.75 {
		t.Errorf("%g, want 0.75", got)
	}
}

func TestCounts(t *testing.T) {
	var got Metrics
	for r, n := range map[fakes.Result]int{
		fakes.Served: 1, fakes.Rejected: 2, fakes.Failed: 3, fakes.Lost: 4,
		fakes.TimedOut: 5, fakes.Unreachable: 6, fakes.Wrong: 7,
	} {
		for range n {
			got.count(&fakes.Attempt{Result: r, SentAt: epoch})
		}
	}
	got.count(&fakes.Attempt{Result: fakes.TimedOut}) // it was never sent
	if want := (Metrics{Lost: 11, Unanswered: 5, Failed: 3, Rejected: 2, Unreachable: 6}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestLateSends checks that the grace of a drain counts from the first response that lists it, and only for its server.
func TestLateSends(t *testing.T) {
	notifiedAt := notifiedAt(map[string]uint64{"a": 3, "b": 4}, []fakes.DiscoveryRequest{
		{Responded: true, RespondedAt: after(0), Revision: 2},
		{Responded: false, RespondedAt: after(10), Revision: 3},
		{Responded: true, RespondedAt: after(200), Revision: 3},
		{Responded: true, RespondedAt: after(100), Revision: 3},
	})
	sent := []fakes.Request{
		{Server: "a", FirstByte: after(900)},
		{Server: "a", FirstByte: after(901)},
		{Server: "b", FirstByte: after(5000)},
		{Server: "c", FirstByte: after(5000)},
	}
	if n := lateSends(notifiedAt, sent); n != 1 {
		t.Errorf("%d late sends, want only the one at 901 ms; notified at: %v", n, notifiedAt)
	}
}

func TestLongestGap(t *testing.T) {
	attempts := []fakes.Attempt{
		{Status: 200, EndedAt: after(50)},
		{Status: 503, EndedAt: after(10)},
		{EndedAt: after(70)},
		{Status: 200, EndedAt: after(95)},
	}
	if got := longestGap(attempts); got != 45*time.Millisecond {
		t.Errorf("%s, want 45ms", got)
	}
}

// TestKillAffects checks that a kill excuses the loss of exactly the requests in flight between it and the recovery.
func TestKillAffects(t *testing.T) {
	k := kill{killedAt: after(100), until: after(200)}
	for _, test := range []struct {
		due, ended int
		want       bool
	}{{0, 99, false}, {0, 101, true}, {150, 400, true}, {201, 400, false}} {
		if got := k.affects(&fakes.Attempt{DueAt: after(test.due), EndedAt: after(test.ended)}); got != test.want {
			t.Errorf("due at %d ms, ended at %d ms: %t, want %t", test.due, test.ended, got, test.want)
		}
	}
}

func TestLostRequestsAreListed(t *testing.T) {
	attempts := []fakes.Attempt{{ID: "a", Result: fakes.Served}, {ID: "b", Result: fakes.Lost}, {ID: "c", Result: fakes.Wrong}}
	got := describeLost(attempts)
	if len(got) != 3 || got[0] != "2 requests lost or without a response" || describeLost(attempts[:1]) != nil {
		t.Errorf("%q", got)
	}
}

func TestPlansAreChecked(t *testing.T) {
	good := HandoverPlan{Setup: Setup{Servers: 4, Rate: 100}, Restarts: 1}
	for name, change := range map[string]func(*HandoverPlan){
		"providers": func(p *HandoverPlan) { p.Servers = 3 },
		"rate":      func(p *HandoverPlan) { p.Rate = 0 },
		"restarts":  func(p *HandoverPlan) { p.Restarts = 0 },
		"pause":     func(p *HandoverPlan) { p.Pause = time.Hour },
		"nth":       func(p *HandoverPlan) { p.Nth = -1 },
		"kill":      func(p *HandoverPlan) { p.Kill = "x" },
		"at":        func(p *HandoverPlan) { p.Kill = Successor },
	} {
		bad := good
		change(&bad)
		if good.Check() != nil || bad.Check() == nil {
			t.Error(name, errors.Join(good.Check(), bad.Check()))
		}
	}
}
