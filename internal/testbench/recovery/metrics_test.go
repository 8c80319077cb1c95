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

// windowsOf returns 20 tries in each window of 250 ms, of which so many are served in time.
func windowsOf(served ...int) (tries []fakes.Attempt) {
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
			tries = append(tries, t)
		}
	}
	return tries
}

func TestFault(t *testing.T) {
	ms := time.Millisecond
	well := slices.Repeat([]int{20}, 8)
	for name, test := range map[string]struct {
		served []int
		normal float64
		want   degradation
	}{
		"none":            {well, 1, degradation{0, true, 0, 1}},
		"at once":         {slices.Concat([]int{5, 10}, well), 1, degradation{500 * ms, true, 500 * ms, 0.25}},
		"later":           {slices.Concat(well, []int{0}, well), 1, degradation{2250 * ms, true, 250 * ms, 0}},
		"again too soon":  {slices.Concat([]int{10, 20, 20, 10}, well), 1, degradation{1000 * ms, true, 500 * ms, 0.5}},
		"for ever":        {slices.Repeat([]int{18}, 9), 1, degradation{0, false, 2000 * ms, 0.9}},
		"normal is less":  {slices.Repeat([]int{18}, 9), 0.94, degradation{0, true, 0, 0.9}},
		"at the very end": {slices.Concat(well, []int{0, 20, 20}), 1, degradation{0, true, 250 * ms, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := faultAfter(windowsOf(test.served...), epoch, test.normal, 250*ms); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestServedFractionIsOfWhatWasDue(t *testing.T) {
	tries := windowsOf(0, 10, 20, 0)
	if got := servedFraction(tries, after(250), after(750)); got != 0.75 {
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

// A drain counts from the first answer that told it, and only for the process that it is about.
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
		t.Errorf("%d late sends, want that at 901 ms alone; told: %v", n, notifiedAt)
	}
}

func TestLongestGap(t *testing.T) {
	tries := []fakes.Attempt{
		{Status: 200, EndedAt: after(50)},
		{Status: 503, EndedAt: after(10)},
		{EndedAt: after(70)},
		{Status: 200, EndedAt: after(95)},
	}
	if got := longestGap(tries); got != 45*time.Millisecond {
		t.Errorf("%s, want 45ms", got)
	}
}

// What a kill may cost was under way then; all else that is lost breaks the rule.
func TestKillMeets(t *testing.T) {
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

func TestLostRequestsAreNamed(t *testing.T) {
	tries := []fakes.Attempt{{ID: "a", Result: fakes.Served}, {ID: "b", Result: fakes.Lost}, {ID: "c", Result: fakes.Wrong}}
	got := noneLost(tries)
	if len(got) != 3 || got[0] != "2 requests lost or not answered" || noneLost(tries[:1]) != nil {
		t.Errorf("%q", got)
	}
}

func TestPlansAreChecked(t *testing.T) {
	good := HandoverPlan{Setup: Setup{Servers: 4, Rate: 100}, Restarts: 1}
	for name, spoil := range map[string]func(*HandoverPlan){
		"providers": func(p *HandoverPlan) { p.Servers = 3 },
		"rate":      func(p *HandoverPlan) { p.Rate = 0 },
		"restarts":  func(p *HandoverPlan) { p.Restarts = 0 },
		"pause":     func(p *HandoverPlan) { p.Pause = time.Hour },
		"nth":       func(p *HandoverPlan) { p.Nth = -1 },
		"kill":      func(p *HandoverPlan) { p.Kill = "x" },
		"at":        func(p *HandoverPlan) { p.Kill = Successor },
	} {
		bad := good
		spoil(&bad)
		if good.Check() != nil || bad.Check() == nil {
			t.Error(name, errors.Join(good.Check(), bad.Check()))
		}
	}
}
