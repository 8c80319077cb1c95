package emulator

import (
	"slices"
	"strings"
	"testing"

	"plankrouter/policy"
)

// mutant wraps a policy and breaks one rule, by changing its events or its actions.
type mutant struct {
	Policy
	event  func(*policy.Event)
	action func(now policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action
}

func (m mutant) Handle(now policy.Ms, e *policy.Event, out []policy.Action) []policy.Action {
	if m.event != nil {
		m.event(e)
	}
	out = m.Policy.Handle(now, e, out)
	if m.action != nil {
		out = m.action(now, e, out)
	}
	return out
}

func TestJudgeNamesEachBrokenRule(t *testing.T) {
	const victim = 7 // id of the request of sidecar 0 that is mishandled
	for _, c := range []struct {
		name    string
		rule    Rule
		fault   Fault
		make    func(Policy) mutant
		request uint32 // expected Breach.Request; 0 = any
		what    string
	}{
		{"never responds", OneResponse, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				return slices.DeleteFunc(acts, func(a policy.Action) bool { return a.Request == victim })
			}}
		}, victim, "no final response"},
		{"responds twice", OneResponse, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
				if e.Kind == policy.RequestArrived && e.Request == victim { // the attempt is in flight
					acts = append(acts, policy.Action{Kind: policy.FailRequest, Request: victim},
						policy.Action{Kind: policy.FailRequest, Request: victim})
				}
				return acts
			}}
		}, victim, "second final response"},
		{"two concurrent attempts", OneAttempt, Fault{Name: "surge", Size: 1}, func(p Policy) mutant {
			return mutant{Policy: p, action: func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				for _, a := range acts {
					if a.Kind == policy.StartAttempt && a.Request == victim {
						acts = append(acts, a)
					}
				}
				return acts
			}}
		}, victim, "an attempt is in flight"},
		{"retries non-idempotent requests", NoRerun, Fault{Name: "failures", For: 5, Part: 0.5, Size: 1}, func(p Policy) mutant {
			orders := map[policy.RequestID]bool{}
			return mutant{Policy: p, action: func(_ policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
				if e.Kind == policy.RequestArrived && e.Class == 2 {
					orders[e.Request] = true
				}
				switch {
				case e.Kind != policy.AttemptEnded || e.Final || !orders[e.Request]:
					return acts
				case e.Attempt == 0 && e.Status == policy.Failed:
					return []policy.Action{{Kind: policy.StartAttempt, Request: e.Request, Server: e.Server, After: 200}}
				}
				return []policy.Action{{Kind: policy.FailRequest, Request: e.Request}}
			}}
		}, 0, "order"},
		{
			"ignores drains", Drained,
			Fault{Name: "deploy", For: 4, Part: 0.4, Size: 0.2, Every: 4},
			func(p Policy) mutant {
				return mutant{Policy: p, event: func(e *policy.Event) {
					e.Complete = false
					e.Servers = slices.DeleteFunc(slices.Clone(e.Servers),
						func(s policy.ServerInfo) bool { return s.Health != policy.Ready })
				}}
			}, 0, "after the drain's grace",
		},
		{"sends all to the newest server", ColdServer, Fault{Name: "silence", For: 2, Part: 0.1}, func(p Policy) mutant {
			var newest policy.ServerInfo
			return mutant{p, func(e *policy.Event) {
				for _, s := range e.Servers {
					if s.StartedAt > newest.StartedAt || s.ID == newest.ID {
						newest = s
					}
				}
			}, func(_ policy.Ms, _ *policy.Event, acts []policy.Action) []policy.Action {
				for i := range acts {
					if acts[i].Kind == policy.StartAttempt && newest.Health == policy.Ready {
						acts[i].Server = newest.ID
					}
				}
				return acts
			}}
		}, 0, "above the limit"},
	} {
		cfg := configWith("random", c.fault)
		cfg.Rate = 100 // so low that no cold server is overloaded by chance
		cfg.Discovery.Late = [2]float64{100, 300}
		if unchanged := play(t, cfg, nil); !unchanged.Ok() {
			t.Errorf("%s: the unchanged policy breaks a rule, too: %s", c.name, brief(unchanged))
		}
		r := play(t, cfg, func(n int, p Policy) Policy {
			if n == 0 || c.request == 0 {
				return c.make(p)
			}
			return p
		})
		i := slices.IndexFunc(r.Breaches, func(b Breach) bool {
			return b.Rule == c.rule && (c.request == 0 || b.Request == c.request && b.Sidecar == 0) &&
				strings.Contains(b.What+strings.Join(b.Steps, "\n"), c.what) && len(b.Steps) > 0
		})
		if i < 0 {
			t.Errorf("%s: no such breach among %v", c.name, r.Breaches)
		} else if len(r.Broken) != 1 {
			t.Errorf("%s: other rules are reported as broken, too: %v", c.name, r.Broken)
		}
		if c.rule == ColdServer {
			cfg.Rules.OverloadMultiple = 1e6
			if r := play(t, cfg, func(_ int, p Policy) Policy { return c.make(p) }); r.ColdOverloads > 0 || !r.Ok() {
				t.Errorf("a server without a limit in slow start is overloaded %d times", r.ColdOverloads)
			}
		}
	}
}
