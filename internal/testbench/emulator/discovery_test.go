package emulator

import (
	"testing"

	"plankrouter/policy"
)

func TestDiscoveryThatIsDownLosesUpdates(t *testing.T) {
	cfg := Default(2, 3)
	cfg.Rate, cfg.Discovery = 0, Discovery{Late: [2]float64{100, 100}, Repair: 1}
	w, err := newWorld(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	until := func(t policy.Ms) {
		for w.heap[0].time <= t {
			w.next()()
		}
	}
	until(1500)
	m := w.machines[1]
	w.discovery.update(m, policy.Draining)
	until(1550)
	w.discovery.stop() // while the update is in transit
	until(3000)
	w.discovery.update(m, policy.Gone)
	until(4000)
	if h := w.sidecars[0].known[m.id].health; h != policy.Ready {
		t.Errorf("discovery has notified of %v while it is down", h)
	}
	w.sidecars[1].kill()
	w.sidecars[1].start()
	if k := w.sidecars[1].known[m.id]; k == nil || k.health != policy.Draining {
		t.Errorf("a sidecar that starts meanwhile has %+v, want the last state before", k)
	}
	w.discovery.restart()
	until(4200)
	for _, sc := range w.sidecars {
		if h := sc.known[m.id].health; h != policy.Gone {
			t.Errorf("after the restart of discovery sidecar %d has %v", sc.number, h)
		}
	}
}
