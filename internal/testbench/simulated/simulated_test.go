package simulated

import (
	"slices"
	"testing"
	"time"
)

// TestRunScenes runs all scenes with twenty sidecars and checks counts only. Exact counts are checked only for discovery of
// the kind OnRequest, where the timeouts of polls are long. The watch of an agent abandons a poll that is 0.3 s late, so a
// busy machine adds polls.
func TestRunScenes(t *testing.T) {
	const sidecars, restarted, servers, changes, unlimited = 20, 6, 16, 2, 1e9
	plan := Plan{
		Window: 400 * time.Millisecond, CallsAll: 400, CallsOne: 20, Restart: restarted, Changes: changes, Burst: 4,
		Gap: 10 * time.Millisecond, Settle: 100 * time.Millisecond, Zone: 400 * time.Millisecond, Within: time.Minute,
	}
	longTimeouts := map[string]float64{"wait_ms": 60000, "least_wait_ms": 60000, "patience_ms": 60000, "least_patience_ms": 60000}
	type want struct {
		scene, figure   string
		lowest, highest float64
	}
	both := []want{
		{"all start", "missing", 0, 0},
		{"all start", "whole", sidecars, unlimited},
		{"idle", "calls_s", 0, 0},
		{"calls", "calls_s", 1e-9, unlimited},
		{"list", "missing", 0, 0},
		{"list", "calls", (changes - 1) * sidecars, unlimited}, // the first change completes polls that were sent before
		{"burst", "missing", 0, 0},
		{"configuration", "missing", 0, 0},
		{"zone lost", "lines", servers / zones, servers / zones},
		{"zone lost", "missing", 0, 0},
		{"zone back", "missing", 0, 0},
		{"restart with a list", "restarted", restarted, restarted},
		{"restart with a list", "missing", 0, 0},
		{"restart without one", "missing", 0, 0},
		{"restart without one", "whole", restarted, unlimited},
	}
	exact := []want{
		{"all start", "turned_away", 0, 0},
		{"list", "whole", 0, 0},
		{"list", "calls", (changes - 1) * sidecars, (changes + 1) * sidecars},
		{"list", "connections", 0, 0},
		{"burst", "whole", 0, 0},
	}
	for kind, wants := range map[string][]want{Pushed: both, OnRequest: append(exact, both...)} {
		t.Run(kind, func(t *testing.T) {
			rows, err := RunScenes(t.Context(), Setup{
				Kind: kind, Sidecars: sidecars, PerPart: 8, Servers: servers, ProbeCost: 0.0046,
				Watch: longTimeouts, MaxStartTime: time.Minute,
			}, plan)
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]*Row{}
			for i, r := range rows {
				got[r.Scene] = &rows[i]
			}
			for _, w := range wants {
				r := got[w.scene]
				if r == nil {
					t.Errorf("%s: not run", w.scene)
					continue
				}
				index := slices.IndexFunc(r.Metrics, func(f Figure) bool { return f.Name == w.figure })
				if index < 0 {
					t.Errorf("%s: there is no %s", w.scene, w.figure)
				} else if v := r.Metrics[index].Value; v < w.lowest || v > w.highest {
					t.Errorf("%s: %s is %g, want %g to %g", w.scene, w.figure, v, w.lowest, w.highest)
				}
			}
		})
	}
}

// TestSlotsOfDiscovery checks that a poll is rejected if the queue is full, and that the queue advances at the rate.
func TestSlotsOfDiscovery(t *testing.T) {
	d, now := discoveryServer{rate: 10}, time.Now()
	for i := range 21 { // one immediately, and twenty more within the two seconds of the queue
		if wait, ok := d.reserveSlot(now); !ok || wait != time.Duration(i)*100*time.Millisecond {
			t.Fatalf("slot %d: waits %s, %t", i, wait, ok)
		}
	}
	if _, ok := d.reserveSlot(now); ok {
		t.Error("a poll beyond the queue gets a slot")
	}
	if wait, ok := d.reserveSlot(now.Add(time.Second)); !ok || wait != 1100*time.Millisecond {
		t.Errorf("a second later: waits %s, %t", wait, ok)
	}
}

func TestSpread(t *testing.T) {
	times := []float64{0}
	for i := range 200 {
		times = append(times, float64(200-i))
	}
	if got, want := spreadOf(times), (spread{100, 198, 200, 1}); got != want {
		t.Errorf("spread is %v, want %v", got, want)
	}
}
