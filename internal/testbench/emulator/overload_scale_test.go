package emulator

import (
	"context"
	"runtime"
	"testing"
)

// Where probes wait among the requests and the servers bear the traffic, what a fleet serves after an event hangs on the number
// of its sidecars by no more than 0.05, and is back within 5 s. It is the scale test in small; testbench overload has it at full
// size, and docs/design/overload.md says where that is not so.
func TestOverloadIsFlatInSidecars(t *testing.T) {
	const near = 0.05
	for _, c := range []struct {
		event string
		load  float64
	}{{"burst", 0.5}, {"zone", 0.9}} {
		var runs []Overload
		for _, n := range []int{4, 40, 150} {
			runs = append(runs, Overload{
				Sidecars: n, Servers: 25, Load: c.load, Reports: "queued", Event: c.event, Seed: 1,
				Policy: "module",
			})
		}
		results, err := PlayOverloads(context.Background(), runs, runtime.GOMAXPROCS(0), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range results {
			t.Logf("%s, load %g, %d sidecars: %.3f before, %.3f after, back in %.0f s", c.event, c.load, r.Sidecars, r.Before, r.After, r.RecoverySeconds)
			if r.After < results[0].After-near || r.RecoverySeconds < 0 || r.RecoverySeconds > overloadRecoverySeconds || r.Broken > 0 {
				t.Errorf("%s, load %g, %d sidecars: %.3f after it, %d sidecars serve %.3f; back in %.0f s; broken: %v", c.event,
					c.load, r.Sidecars, r.After, results[0].Sidecars, results[0].After, r.RecoverySeconds, r.Report.Broken)
			}
		}
	}
}
