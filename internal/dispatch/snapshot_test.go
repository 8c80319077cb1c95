package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/snapshot"
	"plankrouter/policy"
)

// Guards against a successor that restarts the grace of a drain, or that uses the learned state of a server for its next
// process. The configuration of the successor has neither the drain nor the learned state.
func TestRestoreAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t)
		listed := []endpoints.Endpoint{
			{ID: "a", Address: "a:1", Phase: endpoints.Serving},
			{ID: "b", Address: "b:1", Phase: endpoints.Serving},
			{ID: "c", Address: "c:1", Phase: endpoints.Serving, StartedAt: 5},
		}
		d.applyEndpoints(endpoints.List{Revision: 7, Complete: true, Endpoints: listed})
		time.Sleep(time.Second)
		drainedAt := time.Now()
		d.applyEndpoints(endpoints.List{Revision: 8, Endpoints: []endpoints.Endpoint{{ID: "a", Address: "a:1", Phase: endpoints.Draining}}})
		d.applyEndpoints(endpoints.List{Revision: 8, Endpoints: []endpoints.Endpoint{{ID: "d", Address: "d:1", Phase: endpoints.Serving}}})
		d.applyEndpoints(endpoints.List{Revision: 8, Endpoints: []endpoints.Endpoint{{ID: "d", Phase: endpoints.Deleted}}})
		for _, name := range []string{"b", "c"} {
			id := d.serverIDs[name]
			state := d.balancer.State()
			for i := range state.Servers {
				if state.Servers[i].ID == id {
					state.Servers[i].Latency, state.Servers[i].ReportedAt = 80, d.clock.at(time.Now())
				}
			}
			if err := d.balancer.Restore(&state); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		raw, err := snapshot.Encode(d.snapshot(time.Now()), 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		snap, err := snapshot.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		rules := snapshot.DefaultValidityRules()
		rules.Deployment, rules.Classes = "", 1
		listed[2].StartedAt = 6
		known := snapshot.FromEndpoints(endpoints.List{Revision: 9, Endpoints: listed}, "", time.Now())
		restored, _ := snapshot.Restore(snap, known, time.Now(), rules)
		options := d.options
		options.Restored = &restored
		next, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]any{}
		for _, server := range next.servers {
			got[server.name] = []any{server.health, server.phaseSince.Sub(drainedAt).Round(time.Second)}
		}
		for _, server := range next.balancer.State().Servers {
			if server.Latency > 0 {
				got["latency of "+next.servers[server.ID].name] = server.Latency
			}
		}
		for _, member := range next.snapshot(time.Now()).Members {
			if member.Phase == endpoints.Deleted {
				got["deleted"] = member.ID
			}
		}
		want := map[string]any{
			"deleted": "d", "a": []any{policy.Draining, time.Duration(0)}, "b": []any{policy.Ready, -time.Second},
			"c": []any{policy.Ready, 2 * time.Second}, "latency of b": 80.0,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
