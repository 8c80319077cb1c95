package policy

import (
	"fmt"
	"testing"
)

// Whatever the number of sidecars that share the same traffic, all of which hear of a cold server in the same moment: what
// they send it together, in any OverloadWindow, stays under three quarters of OverloadMultiple times what it must bear when the window
// begins, where the fleet's servers are used to the full; and it gets half of a warm server's part at least.
func TestColdServerBearsTheSumOfAllSidecars(t *testing.T) {
	const lasts = 8000
	for _, c := range [][2]int{{1, 30}, {4, 30}, {80, 30}, {300, 200}, {2000, 30}, {5000, 200}} {
		sidecars, servers := c[0], c[1]
		perMs := 0.015 * float64(servers)
		t.Run(fmt.Sprint(sidecars), func(t *testing.T) {
			cfg := testConfig()
			cfg.Instances, cfg.ProbeCost, cfg.OverloadMultiple, cfg.OverloadWindow, cfg.Round = sidecars, 0.08, 4, 3000, 1
			fleet := make([]*rig, sidecars)
			for i := range fleet {
				b, err := New(cfg, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				fleet[i] = &rig{t: t, b: b, now: 1000}
				list := make([]ServerInfo, servers)
				for j := range list {
					list[j] = ServerInfo{ID: ServerID(j + 1), Health: Ready}
				}
				fleet[i].do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
			}
			var sent []Ms
			born := Ms(5000)
			for n := range int((4000 + lasts) * perMs) {
				now := 1000 + float64(n)/perMs
				if now-1/perMs < born && now >= born {
					for _, g := range fleet {
						g.now = now
						g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: born}}})
					}
				}
				g := fleet[n*7919%sidecars]
				g.now = now
				if g.pass(RequestID(n)) == 1 && now >= born {
					sent = append(sent, now)
				}
			}
			worst := 0.0
			for i, at := range sent {
				in := 0
				for _, later := range sent[i:] {
					if later < at+cfg.OverloadWindow {
						in++
					}
				}
				bears := (cfg.StartCapacity + (1-cfg.StartCapacity)*(at-born)/cfg.WarmUpTime) * perMs / float64(servers) * cfg.OverloadWindow
				worst = max(worst, float64(in)/bears)
			}
			if worst > 0.75*cfg.OverloadMultiple {
				t.Errorf("%.2f times what it must bear", worst)
			}
			if fair := perMs / float64(servers) * lasts; float64(len(sent)) < 0.5*fair {
				t.Errorf("%d requests, %.0f is a warm server's part", len(sent), fair)
			}
			t.Logf("%.2f times what it must bear, %d requests", worst, len(sent))
		})
	}
}
