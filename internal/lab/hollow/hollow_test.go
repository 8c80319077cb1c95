package hollow

import (
	"testing"
	"time"
)

// TestPlay plays all scenes with twenty sidecars. It looks at counts alone: times and processors are for the command.
func TestPlay(t *testing.T) {
	const sidecars, restarted, servers = 20, 6, 16
	plan := Plan{Window: 400 * time.Millisecond, CallsAll: 400, CallsOne: 20, Restart: restarted, Changes: 2, Burst: 4,
		Gap: 10 * time.Millisecond, Settle: 100 * time.Millisecond, Zone: 400 * time.Millisecond, Within: time.Minute}
	for _, kind := range []string{Pushed, OnRequest} {
		t.Run(kind, func(t *testing.T) {
			rows, err := Play(t.Context(), Setup{Kind: kind, Sidecars: sidecars, PerPart: 8, Servers: servers, ProbePrice: 0.0046,
				StartMost: time.Minute}, plan)
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]*Row{}
			for i, r := range rows {
				got[r.Scene] = &rows[i]
			}
			for _, want := range []struct {
				scene, figure string
				least, most   float64
			}{
				{"all start", "missing", 0, 0},
				{"all start", "whole", sidecars, sidecars},
				{"all start", "connections", sidecars, sidecars},
				{"all start", "turned_away", 0, 0},
				{"idle", "list_whole", 0, 0},
				{"idle", "calls_s", 0, 0},
				{"calls", "failed", 0, 0},
				{"list", "missing", 0, 0},
				{"list", "whole", 0, 0},
				{"list", "calls", 2 * sidecars, 1e6},
				{"burst", "missing", 0, 0},
				{"burst", "whole", 0, 0},
				{"configuration", "missing", 0, 0},
				{"zone lost", "lines", servers / zones, servers / zones},
				{"zone lost", "missing", 0, 0},
				{"zone back", "missing", 0, 0},
				{"restart with a list", "restarted", restarted, restarted},
				{"restart with a list", "missing", 0, 0},
				{"restart with a list", "whole", 0, 0},
				{"restart without one", "missing", 0, 0},
				{"restart without one", "whole", restarted, restarted},
			} {
				r := got[want.scene]
				if r == nil {
					t.Errorf("%s: not played", want.scene)
					continue
				}
				if v, is := r.Get(want.figure); !is || v < want.least || v > want.most {
					t.Errorf("%s: %s is %g (there: %t), want %g to %g", want.scene, want.figure, v, is, want.least, want.most)
				}
			}
		})
	}
}
