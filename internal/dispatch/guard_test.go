package dispatch

import (
	"plankrouter/internal/endpoints"
	"plankrouter/internal/invariant"
	"plankrouter/internal/request"
	"plankrouter/policy"
	"testing"
	"testing/synctest"
	"time"
)

// What an unsound module asks for against a rule is held back at the one place that sends, or that refuses, and counted there.
func TestInvariantGuards(t *testing.T) {
	for name, row := range map[string]struct {
		repeat  policy.Idempotency
		scope   policy.KeyScope
		mayRun  bool
		out     bool
		leaves  bool // the server does
		send    bool
		refuse  bool
		counted invariant.Rule
	}{
		"nothing has run":                {repeat: policy.NonIdempotent, send: true, refuse: true},
		"an order may have run":          {repeat: policy.NonIdempotent, mayRun: true, counted: invariant.Effect},
		"what is safe may have run":      {repeat: policy.Idempotent, mayRun: true, send: true, refuse: true},
		"a token of all may have run":    {repeat: policy.WithIdempotencyKey, mayRun: true, send: true, refuse: true},
		"a token of a zone may have run": {repeat: policy.WithIdempotencyKey, scope: policy.ScopeZone, mayRun: true, send: true},
		"an attempt is out":              {repeat: policy.Idempotent, out: true, refuse: true, counted: invariant.OneAttempt},
		"an order's attempt is out":      {repeat: policy.NonIdempotent, out: true, counted: invariant.OneAttempt},
		"the server drains":              {repeat: policy.Idempotent, leaves: true, refuse: true, counted: invariant.DrainGrace},
	} {
		synctest.Test(t, func(t *testing.T) {
			book := new(invariant.Recorder)
			d, err := New(Options{Policy: policy.Config{MaxAttempts: 1, Classes: []policy.Class{{
				LatencyObjective: 100, Deadline: 1000,
				Idempotency: row.repeat, KeyScope: row.scope,
			}}}, Upstream: refusingUpstream{}, Invariants: book})
			if err != nil {
				t.Fatal(err)
			}
			d.applyEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "a", Address: "a:1", Phase: endpoints.Serving}}})
			k := d.servers[d.serverIDs["a"]]
			if row.leaves {
				k.health = policy.Draining
			}
			var got []request.Kind
			h := &pendingRequest{mayRun: row.mayRun, request: &request.Request{
				ID: "r", SentAt: time.Now(), Timeout: time.Second,
				Respond: func(a request.Response) { got = append(got, a.Kind) },
			}}
			if row.out {
				h.attempt = 1
			}
			if send := d.maySend(h, k); send != row.send {
				t.Errorf("%s: may send %t", name, send)
			}
			if c := book.Counts()[row.counted]; !row.send && c.Prevented != 1 {
				t.Errorf("%s: %s held back %d times", name, c.Rule, c.Prevented)
			}
			d.requests[1] = h
			d.respond(1, request.Response{Kind: request.Rejected})
			want := request.Rejected
			if !row.refuse {
				want = request.Failed
			}
			if len(got) != 1 || got[0] != want {
				t.Errorf("%s: answers %v, want %v", name, got, want)
			}
			time.Sleep(time.Second) // the caller's goroutines
			synctest.Wait()
		})
	}
}
