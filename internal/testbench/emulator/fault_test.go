package emulator

import (
	"testing"
)

func TestEachFaultChangesWhatItShould(t *testing.T) {
	baseline := map[string]*Report{}
	for _, p := range []string{"random", "module"} {
		baseline[p] = play(t, configWith(p), nil)
	}
	for _, c := range []struct {
		policy string
		fault  Fault
		shows  func(r, baseline *Report) bool
	}{
		{"random", Fault{Name: "silence", For: 5, Part: 0.2}, func(r, c *Report) bool {
			return r.Rows[5].Silent == 2 && r.Rows[9].Silent == 0 && r.Service < c.Service-0.02
		}},
		{"random", Fault{Name: "failures", For: 5, Part: 0.3, Size: 1}, func(r, c *Report) bool {
			return r.Attempts > c.Attempts+0.05 && r.Classes[2].Service < c.Classes[2].Service-0.05
		}},
		{"random", Fault{Name: "neighbour", For: 6, Part: 0.5, Size: 0.6, Every: 1}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5
		}},
		{"random", Fault{Name: "costly", For: 6, Part: 0.05, Size: 20, Class: "tile"}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5 && r.Requests == c.Requests
		}},
		{"module", Fault{Name: "deploy", For: 5, Part: 0.5, Size: 0.1, Every: 2}, func(r, c *Report) bool {
			return r.Rejected > c.Rejected && r.Handshakes > c.Handshakes && r.Timeline != nil
		}},
		{"random", Fault{Name: "cutoff", For: 5}, func(r, c *Report) bool {
			return r.Service < c.Service-0.05 && r.Rows[11].Service > 0.9
		}},
		{"random", Fault{Name: "restart", For: 1, Part: 0.5}, func(r, c *Report) bool {
			return r.Lost > 0 && r.Rows[3].Service < c.Rows[3].Service-0.1
		}},
		{"random", Fault{Name: "pause", For: 1.5, Part: 0.4}, func(r, c *Report) bool {
			return r.MeanMs > c.MeanMs+5
		}},
		{"random", Fault{Name: "resets", For: 5, Part: 0.2}, func(r, c *Report) bool {
			return r.Attempts > c.Attempts+0.05 && r.Handshakes > c.Handshakes+0.05
		}},
		{"module", Fault{Name: "surge", For: 4, Size: 3}, func(r, c *Report) bool {
			return r.Rows[4].Requests > 2*c.Rows[4].Requests && r.Rows[4].Service < c.Rows[4].Service
		}},
	} {
		if r := play(t, configWith(c.policy, c.fault), nil); !c.shows(r, baseline[c.policy]) || !r.Ok() {
			t.Errorf("%s has no effect, or a rule is broken: %s", c.fault.Name, brief(r))
		}
	}
	deploy := Fault{Name: "deploy", For: 3, Part: 0.5, Size: 0.1, Every: 1}
	deployed := play(t, configWith("module", deploy), nil)
	slow := play(t, configWith("module", Fault{Name: "release-slow", For: 3, Part: 0.5, Size: 2, Every: 1}), nil)
	mute := play(t, configWith("module", Fault{Name: "release-mute", For: 3, Part: 0.5, Every: 1}), nil)
	if slow.MeanMs < deployed.MeanMs+10 || slow.Requests != deployed.Requests || mute.Probes < deployed.Probes+0.1 {
		t.Errorf("deploy: %s, %.3f probes; release-slow: %s; release-mute: %.3f probes", brief(deployed), deployed.Probes,
			brief(slow), mute.Probes)
	}
	hidden := play(t, configWith("module", deploy, Fault{Name: "directory", For: 8}), nil)
	if hidden.Service >= deployed.Service-0.02 {
		t.Errorf("service during a deploy with discovery down: %.3f, with discovery up: %.3f", hidden.Service,
			deployed.Service)
	}
}
