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

// Guards against a faulty policy: an attempt or a rejection that would violate an invariant is prevented where it would be
// made, and counted.
func TestInvariantGuards(t *testing.T) {
	for name, row := range map[string]struct {
		idempotency policy.Idempotency
		scope       policy.KeyScope
		mayHaveRun  bool // an earlier attempt may have run
		inFlight    bool // another attempt is in flight
		draining    bool // the server is draining
		send        bool
		reject      bool
		counted     invariant.Rule
	}{
		"nothing has run":                        {idempotency: policy.NonIdempotent, send: true, reject: true},
		"non-idempotent, may have run":           {idempotency: policy.NonIdempotent, mayHaveRun: true, counted: invariant.UnsafeRepeat},
		"idempotent, may have run":               {idempotency: policy.Idempotent, mayHaveRun: true, send: true, reject: true},
		"key known to all servers, may have run": {idempotency: policy.WithIdempotencyKey, mayHaveRun: true, send: true, reject: true},
		"key known to one zone, may have run":    {idempotency: policy.WithIdempotencyKey, scope: policy.ScopeZone, mayHaveRun: true, send: true},
		"attempt in flight":                      {idempotency: policy.Idempotent, inFlight: true, reject: true, counted: invariant.OneAttempt},
		"non-idempotent attempt in flight":       {idempotency: policy.NonIdempotent, inFlight: true, counted: invariant.OneAttempt},
		"server is draining":                     {idempotency: policy.Idempotent, draining: true, reject: true, counted: invariant.DrainGrace},
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
			pending := &pendingRequest{endedMayHaveRun: row.mayHaveRun, request: &request.Request{
				ID: "r", SentAt: time.Now(), Timeout: time.Second,
				Respond: func(resp request.Response) { got = append(got, resp.Kind) },
			}}
			if row.inFlight {
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
			if !row.reject {
				want = request.Failed
			}
			if len(got) != 1 || got[0] != want {
				t.Errorf("%s: responses %v, want %v", name, got, want)
			}
			time.Sleep(time.Second) // until the goroutines of refusingUpstream have ended
			synctest.Wait()
		})
	}
}
