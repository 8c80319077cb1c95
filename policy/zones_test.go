package policy

import "testing"

// All instances of a zone may find its servers full. Then their probes, and with them their requests, must find the servers of
// other zones, but only where there is capacity: not if those are full as well, or can't be reached.
func TestFullZoneProbesOtherZones(t *testing.T) {
	const servers, local = 60, 20
	for _, c := range []struct {
		name                     string
		here, there              float64 // RIF
		cut                      bool    // the others answer nothing
		minProbes, maxProbes     float64 // part of the probes that go to other zones
		minRequests, maxRequests float64 // and of the requests
	}{
		{"capacity everywhere", 1, 1, false, 0, 0.15, 0, 0.15},
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
		g := &rig{test: t, balancer: b, now: 1000}
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
				isFar := a.Server > local
				e := Event{Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Report: Report{
					HasRIF: true, RIF: c.here,
					HasLatency: true, Latency: 40,
				}}
				if isFar {
					e.Report.RIF = c.there
				}
				if isFar && c.cut {
					e.Status = TimedOut
				}
				switch a.Kind {
				case SendProbe:
					if id >= 100 { // once the rate is known, and what there is elsewhere
						probes++
						if isFar {
							far++
						}
					}
				case StartAttempt:
					if id >= 100 {
						sent++
						if isFar {
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
		if part := far / probes; part < c.minProbes || part > c.maxProbes {
			t.Errorf("%s: %.2f of %.0f probes go elsewhere, want %.2f to %.2f", c.name, part, probes, c.minProbes, c.maxProbes)
		}
		if part := out / sent; sent > 0 && (part < c.minRequests || part > c.maxRequests) {
			t.Errorf("%s: %.2f of %.0f requests go elsewhere, want %.2f to %.2f", c.name, part, sent, c.minRequests, c.maxRequests)
		}
		t.Logf("%s: probes %.2f of %.0f, requests %.2f of %.0f", c.name, far/probes, probes, out/sent, sent)
	}
}

// Whatever the number of instances, one probes no more servers than its subset in its own zone and as many again in others.
// Without zones there is nothing beyond the subset.
func TestCandidateCount(t *testing.T) {
	for name, c := range map[string]struct{ instances, servers, local, ownZone, allZones int }{
		"five zones":                             {300, 200, 40, 40, 40 + 85},
		"one zone":                               {300, 200, 200, 85, 85},
		"many instances, five zones":             {5000, 200, 40, 5, 5 + 5},
		"many instances, one zone":               {5000, 200, 200, 5, 5},
		"subset of all servers":                  {80, 60, 12, 12, 60},
		"own zone smaller than the least subset": {4, 16, 3, 4, 16},
	} {
		cfg := testConfig()
		cfg.Instances, cfg.CrossZoneCost = c.instances, 0.01
		g := newRig(t, cfg, 0)
		var list []ServerInfo
		for i := range c.servers {
			list = append(list, ServerInfo{ID: ServerID(i + 1), Health: Ready, Zone: min(1, i/c.local)})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		ownZone := g.balancer.candidateCount(false)
		allZones := g.balancer.candidateCount(true)
		if ownZone != c.ownZone || allZones != c.allZones {
			t.Errorf("%s: %d in the own zone and %d in all, want %d and %d", name, ownZone, allZones, c.ownZone, c.allZones)
		}
	}
}
