package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/invariant"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// What a faulty policy asks for against a rule is prevented at the one place that sends, or that refuses, and counted there.
func TestInvariantGuards(t *testing.T) {
	for name, row := range map[string]struct {
		idempotency policy.Idempotency
		scope       policy.KeyScope
		mayRun      bool
		underWay    bool // another attempt is
		draining    bool // the server is
		send        bool
		refuse      bool
		counted     invariant.Rule
	}{
		"nothing has run":                          {idempotency: policy.NonIdempotent, send: true, refuse: true},
		"what is not idempotent may have run":      {idempotency: policy.NonIdempotent, mayRun: true, counted: invariant.Effect},
		"what is idempotent may have run":          {idempotency: policy.Idempotent, mayRun: true, send: true, refuse: true},
		"a key that all servers know may have run": {idempotency: policy.WithIdempotencyKey, mayRun: true, send: true, refuse: true},
		"a key that a zone knows may have run":     {idempotency: policy.WithIdempotencyKey, scope: policy.ScopeZone, mayRun: true, send: true},
		"an attempt is under way":                  {idempotency: policy.Idempotent, underWay: true, refuse: true, counted: invariant.OneAttempt},
		"a non-idempotent attempt is under way":    {idempotency: policy.NonIdempotent, underWay: true, counted: invariant.OneAttempt},
		"the server drains":                        {idempotency: policy.Idempotent, draining: true, refuse: true, counted: invariant.DrainGrace},
	} {
		synctest.Test(t, func(t *testing.T) {
			recorder := new(invariant.Recorder)
			d, err := New(Options{Policy: policy.Config{MaxAttempts: 1, Classes: []policy.Class{{
				LatencyObjective: 100, Deadline: 1000,
				Idempotency: row.idempotency, KeyScope: row.scope,
			}}}, Upstream: refusingUpstream{}, Invariants: recorder})
			if err != nil {
				t.Fatal(err)
			}
			d.applyEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "a", Address: "a:1", Phase: endpoints.Serving}}})
			server := d.servers[d.serverIDs["a"]]
			if row.draining {
				server.health = policy.Draining
			}
			var got []request.Kind
			pending := &pendingRequest{mayRun: row.mayRun, request: &request.Request{
				ID: "r", SentAt: time.Now(), Timeout: time.Second,
				Respond: func(a request.Response) { got = append(got, a.Kind) },
			}}
			if row.underWay {
				pending.attempt = 1
			}
			if send := d.maySend(pending, server); send != row.send {
				t.Errorf("%s: may send %t", name, send)
			}
			if c := recorder.Counts()[row.counted]; !row.send && c.Prevented != 1 {
				t.Errorf("%s: %s prevented %d times", name, c.Rule, c.Prevented)
			}
			d.requests[1] = pending
			d.respond(1, request.Response{Kind: request.Rejected})
			want := request.Rejected
			if !row.refuse {
				want = request.Failed
			}
			if len(got) != 1 || got[0] != want {
				t.Errorf("%s: answers %v, want %v", name, got, want)
			}
			time.Sleep(time.Second) // the goroutines of refusingUpstream
			synctest.Wait()
		})
	}
}
