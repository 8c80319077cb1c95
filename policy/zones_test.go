package policy

import "testing"

// If the servers of a zone are full, its instances must send probes, and then requests, to servers of other zones, unless those
// are full or unreachable, too.
func TestFullZoneProbesOtherZones(t *testing.T) {
	const servers, local = 60, 20
	for _, c := range []struct {
		name                     string
		ownRIF, otherRIF         float64 // in the own zone and in the others
		unreachable              bool    // probes of other zones time out
		minProbes, maxProbes     float64 // fraction of probes sent to other zones
		minRequests, maxRequests float64 // fraction of requests sent to other zones
	}{
		{"capacity everywhere", 1, 1, false, 0, 0.15, 0, 0.15},
		{"own zone full", 20, 1, false, 0.5, 1, 0.7, 1},
		{"all zones full", 20, 20, false, 0, 0.3, 0, 1},
		{"own zone full, others unreachable", 20, 1, true, 0, 0.3, 0, 0},
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
		probes, otherZoneProbes, sent, otherZoneSent := 0.0, 0.0, 0.0, 0.0
		for id := range RequestID(600) {
			g.now += 70
			g.tick()
			acts := g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
			for ; len(acts) > 0; acts = acts[1:] {
				a := acts[0]
				inOtherZone := a.Server > local
				e := Event{Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Report: Report{
					HasRIF: true, RIF: c.ownRIF,
					HasLatency: true, Latency: 40,
				}}
				if inOtherZone {
					e.Report.RIF = c.otherRIF
				}
				if inOtherZone && c.unreachable {
					e.Status = TimedOut
				}
				switch a.Kind {
				case SendProbe:
					if id >= 100 { // once the request rate and the capacity of other zones are known
						probes++
						if inOtherZone {
							otherZoneProbes++
						}
					}
				case StartAttempt:
					if id >= 100 {
						sent++
						if inOtherZone {
							otherZoneSent++
						}
					}
					e = Event{Kind: AttemptEnded, Request: id, Server: a.Server, Status: OK, Elapsed: 40, Final: true}
				default:
					continue
				}
				acts = append(acts, g.do(e)...)
			}
		}
		if fraction := otherZoneProbes / probes; fraction < c.minProbes || fraction > c.maxProbes {
			t.Errorf("%s: %.2f of %.0f probes are sent to other zones, want %.2f to %.2f", c.name, fraction, probes, c.minProbes, c.maxProbes)
		}
		if fraction := otherZoneSent / sent; sent > 0 && (fraction < c.minRequests || fraction > c.maxRequests) {
			t.Errorf("%s: %.2f of %.0f requests are sent to other zones, want %.2f to %.2f", c.name, fraction, sent, c.minRequests, c.maxRequests)
		}
		t.Logf("%s: probes %.2f of %.0f, requests %.2f of %.0f", c.name, otherZoneProbes/probes, probes, otherZoneSent/sent, sent)
	}
}

// For any number of instances, an instance probes at most as many servers of its own zone as its subset has servers, and at
// most as many again in other zones. Without zones it probes only its subset.
func TestCandidateCount(t *testing.T) {
	for name, c := range map[string]struct{ instances, servers, local, ownZone, allZones int }{
		"five zones":                                {300, 200, 40, 40, 40 + 85},
		"one zone":                                  {300, 200, 200, 85, 85},
		"many instances, five zones":                {5000, 200, 40, 5, 5 + 5},
		"many instances, one zone":                  {5000, 200, 200, 5, 5},
		"subset of all servers":                     {80, 60, 12, 12, 60},
		"own zone smaller than the smallest subset": {4, 16, 3, 4, 16},
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
