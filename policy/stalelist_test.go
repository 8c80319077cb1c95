package policy

import (
	"testing"
)

// While discovery can't be reached a server may begin to drain at any time. A quiet instance among many servers must still serve,
// and send only where a probe has been answered lately: a draining server declines it.
func TestProbesStandForAStaleList(t *testing.T) {
	const holds = 550
	for name, price := range map[string]float64{"costly": 0.08, "cheap": 0} {
		cfg := testConfig()
		cfg.ProbeCost, cfg.ProbeValidity, cfg.Instances = price, holds, 300
		g := newRig(t, cfg, 40)
		g.do(Event{Kind: ListValidityChanged, TimeLeft: 3650})
		answered, drains, probes := map[ServerID]Ms{}, map[ServerID]bool{}, 0
		var handle func([]Action) bool
		handle = func(acts []Action) (sent bool) {
			for _, a := range acts {
				switch a.Kind {
				case StartAttempt:
					sent = true
					if last, ok := answered[a.Server]; g.now >= 1000+3650 && (!ok || g.now-last >= holds) {
						t.Fatalf("%s, %.0f ms: sent to %d, which answered a probe at %.0f", name, g.now, a.Server, last)
					}
					g.do(Event{Kind: AttemptEnded, Request: a.Request, Server: a.Server, Status: OK, Elapsed: 40, Final: true})
				case SendProbe:
					probes++
					e := Event{Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Status: Failed}
					if !drains[a.Server] {
						if a.Server <= 30 || g.now < 1000+3650 { // else the process that answers is not known
							answered[a.Server], e.ProbeSentAt = g.now, g.now
						}
						e.Status, e.Report = OK, Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40}
					}
					sent = handle(g.do(e)) || sent
				}
			}
			return sent
		}
		refused := 0
		for id := range RequestID(200) {
			if g.now += 350; id%10 == 0 {
				drains[ServerID(1+id/10)] = true // half of them in the end
			}
			handle(g.tick())
			if !handle(g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})) {
				refused++
			}
		}
		if refused > 20 || probes > 3*200 && price > 0 {
			t.Errorf("%s: %d of 200 were not sent, %d probes", name, refused, probes)
		}
		g.do(Event{Kind: ListValidityChanged, TimeLeft: 3000})
		if g.balancer.isListStale() {
			t.Errorf("%s: still stale after a new list", name)
		}
	}
	cfg := testConfig()
	cfg.Probes = false
	g := newRig(t, cfg, 4)
	if g.do(Event{Kind: ListValidityChanged, TimeLeft: -1}); find(g.arrive(1, 0), RejectRequest) == nil {
		t.Error("without probes a stale list is relied on")
	}
	if g.do(Event{Kind: ListValidityChanged, TimeLeft: 1}); find(g.arrive(2, 0), StartAttempt) == nil {
		t.Error("refused after a new list")
	}
}

// While a probe of any server may stand for the list, servers that have answered none yet are probed, and serve; after that their
// probes would be wasted.
func TestNewServersAreProbedWhileAnyProbeCounts(t *testing.T) {
	for counts, want := range map[Ms]bool{5000: true, 0: false} {
		cfg := testConfig()
		cfg.ProbeValidity = 550
		g := newRig(t, cfg, 8)
		g.do(Event{Kind: ListValidityChanged, TimeLeft: -1, Elapsed: counts})
		probe := find(g.arrive(1, 0), SendProbe)
		if (probe != nil) != want {
			t.Errorf("any probe counts for %.0f ms: probed %t", counts, probe != nil)
		}
		g.now += 6000
		if find(g.arrive(2, 0), SendProbe) != nil {
			t.Errorf("any probe counts for %.0f ms: probed after that", counts)
		}
	}
}
