package policy

import (
	"testing"
)

// While discovery is unreachable a server may begin to drain at any time. An instance with few requests must still serve,
// but send requests only to servers that have recently responded to a probe, which a draining server declines.
func TestProbesReplaceAStaleList(t *testing.T) {
	const validity = 550
	for name, price := range map[string]float64{"costly": 0.08, "cheap": 0} {
		cfg := testConfig()
		cfg.ProbeCost, cfg.ProbeValidity, cfg.Instances = price, validity, 300
		g := newRig(t, cfg, 40)
		g.do(Event{Kind: ListValidityChanged, TimeLeft: 3650})
		answered, drains, probes := map[ServerID]Ms{}, map[ServerID]bool{}, 0
		var handle func([]Action) bool
		handle = func(acts []Action) (sent bool) {
			for _, a := range acts {
				switch a.Kind {
				case StartAttempt:
					sent = true
					if last, ok := answered[a.Server]; g.now >= 1000+3650 && (!ok || g.now-last >= validity) {
						t.Fatalf("%s, %.0f ms: sent to server %d, whose last probe response was at %.0f", name, g.now, a.Server, last)
					}
					g.do(Event{Kind: AttemptEnded, Request: a.Request, Server: a.Server, Status: OK, Elapsed: 40, Final: true})
				case SendProbe:
					probes++
					e := Event{Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Status: Failed}
					if !drains[a.Server] {
						if a.Server <= 30 || g.now < 1000+3650 { // otherwise it is not known which process responds
							answered[a.Server], e.ProbeSentAt = g.now, g.now
						}
						e.Status, e.Report = OK, Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40}
					}
					sent = handle(g.do(e)) || sent
				}
			}
			return sent
		}
		rejected := 0
		for id := range RequestID(200) {
			if g.now += 350; id%10 == 0 {
				drains[ServerID(1+id/10)] = true // 20 of 40 servers in the end
			}
			handle(g.tick())
			if !handle(g.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})) {
				rejected++
			}
		}
		if rejected > 20 || probes > 3*200 && price > 0 {
			t.Errorf("%s: %d of 200 were not sent, %d probes", name, rejected, probes)
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
		t.Error("without probes, a request is sent although the list is stale")
	}
	if g.do(Event{Kind: ListValidityChanged, TimeLeft: 1}); find(g.arrive(2, 0), StartAttempt) == nil {
		t.Error("rejected after a new list")
	}
}

// While probes of any server are valid for a stale list, servers that have not responded to a probe yet are probed. After that
// such probes would be wasted.
func TestNewServersAreProbedWhileAnyProbeIsValid(t *testing.T) {
	for validity, want := range map[Ms]bool{5000: true, 0: false} {
		cfg := testConfig()
		cfg.ProbeValidity = 550
		g := newRig(t, cfg, 8)
		g.do(Event{Kind: ListValidityChanged, TimeLeft: -1, Elapsed: validity})
		probe := find(g.arrive(1, 0), SendProbe)
		if (probe != nil) != want {
			t.Errorf("any probe is valid for %.0f ms: probed %t", validity, probe != nil)
		}
		g.now += 6000
		if find(g.arrive(2, 0), SendProbe) != nil {
			t.Errorf("any probe is valid for %.0f ms: probed after that", validity)
		}
	}
}
