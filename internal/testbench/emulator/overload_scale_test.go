package emulator

import (
	"context"
	"runtime"
	"testing"
)

// TestOverloadIsFlatInSidecars checks that the share of served requests after an event does not drop by more than 0.05 with the
// number of sidecars, and recovers within 5 s. Probes share the cores with the requests, and the servers can process the
// traffic. The command testbench overload runs the same test at full size; docs/design/overload.md lists where it does not hold.
func TestOverloadIsFlatInSidecars(t *testing.T) {
	const tolerance = 0.05
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
			t.Logf("%s, load %g, %d sidecars: %.3f before, %.3f after, recovered in %.0f s", c.event, c.load, r.Sidecars, r.Before, r.After, r.RecoverySeconds)
			if r.After < results[0].After-tolerance || r.RecoverySeconds < 0 || r.RecoverySeconds > overloadRecoverySeconds || r.Broken > 0 {
				t.Errorf("%s, load %g, %d sidecars: %.3f after the event, with %d sidecars %.3f; recovered in %.0f s; broken: %v", c.event,
					c.load, r.Sidecars, r.After, results[0].Sidecars, results[0].After, r.RecoverySeconds, r.Report.Broken)
			}
		}
	}
}
