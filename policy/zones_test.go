package policy

import "testing"

// All instances of a zone are crowded together. Then their probes, and with them their requests, must find the servers of
// other zones, but only where there is room: not if those are full as well, or can't be reached.
func TestFullZoneProbesOtherZones(t *testing.T) {
	const servers, local = 60, 20
	for _, c := range []struct {
		name              string
		here, there       float64 // RIF
		cut               bool    // the others answer nothing
		least, most       float64 // part of the probes that go to other zones
		leastOut, mostOut float64 // and of the requests
	}{
		{"room everywhere", 1, 1, false, 0, 0.15, 0, 0.15},
		{"full here", 20, 1, false, 0.5, 1, 0.7, 1},
		{"full everywhere", 20, 20, false, 0, 0.3, 0, 1},
		{"full here and cut off", 20, 1, true, 0, 0.3, 0, 0},
	} {
		cfg := testConfig()
		cfg.Instances, cfg.ProbeCost, cfg.CrossZoneCost = 300, 0.08, 0.01
		b, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		g := &rig{t: t, b: b, now: 1000}
		g.do(Event{Kind: Started})
		var list []ServerInfo
		for i := range servers {
			list = append(list, ServerInfo{ID: ServerID(i + 1), Health: Ready, Zone: i / local})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		probes, far, sent, out := 0.0, 0.0, 0.0, 0.0
		for id := range RequestID(600) {
			g.now += 70
			g.tick()
			acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
			for ; len(acts) > 0; acts = acts[1:] {
				a := acts[0]
				away := a.Server > local
				e := Event{Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Report: Report{
					HasRIF: true, RIF: c.here,
					HasLatency: true, Latency: 40,
				}}
				if e.Report.RIF = c.here; away {
					e.Report.RIF = c.there
				}
				if away && c.cut {
					e.Status = TimedOut
				}
				switch a.Kind {
				case SendProbe:
					if id >= 100 { // once the rate is known, and what there is elsewhere
						probes++
						if away {
							far++
						}
					}
				case StartAttempt:
					if id >= 100 {
						sent++
						if away {
							out++
						}
					}
					e = Event{Kind: AttemptEnded, Request: id, Server: a.Server, Status: OK, Elapsed: 40, Final: true}
				default:
					continue
				}
				acts = append(acts, g.do(e)...)
			}
		}
		if part := far / probes; part < c.least || part > c.most {
			t.Errorf("%s: %.2f of %.0f probes go elsewhere, want %.2f to %.2f", c.name, part, probes, c.least, c.most)
		}
		if part := out / sent; sent > 0 && (part < c.leastOut || part > c.mostOut) {
			t.Errorf("%s: %.2f of %.0f requests go elsewhere, want %.2f to %.2f", c.name, part, sent, c.leastOut, c.mostOut)
		}
		t.Logf("%s: probes %.2f of %.0f, requests %.2f of %.0f", c.name, far/probes, probes, out/sent, sent)
	}
}

// Whatever the number of instances, one probes no more servers than its zone's in reach and as many again in others. Without
// zones there is nothing beyond what is in reach.
func TestCandidateCount(t *testing.T) {
	for _, c := range []struct{ sidecars, servers, local, home, far int }{
		{300, 200, 40, 40, 40 + 85},
		{300, 200, 200, 85, 85},
		{5000, 200, 40, 5, 5 + 5},
		{5000, 200, 200, 5, 5},
		{80, 60, 12, 12, 60},
		{4, 16, 3, 4, 16},
	} {
		cfg := testConfig()
		cfg.Instances, cfg.CrossZoneCost = c.sidecars, 0.01
		g := newRig(t, cfg, 0)
		var list []ServerInfo
		for i := range c.servers {
			list = append(list, ServerInfo{ID: ServerID(i + 1), Health: Ready, Zone: min(1, i/c.local)})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		if home, far := g.b.candidateCount(false), g.b.candidateCount(true); home != c.home || far != c.far {
			t.Errorf("%+v: %d, %d", c, home, far)
		}
	}
}
