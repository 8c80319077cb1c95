package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// Guards against repeating a request when servers no longer recognize its idempotency key. They drop repeats for 3 s after the
// first attempt that may have run was sent. Each further attempt expires at the end of that window, less the policy's margin of
// 11 ms: if its last byte has not been written by that time, it is withdrawn and the client gets a response at once.
func TestRepeatedAttemptsExpire(t *testing.T) {
	const never, second = time.Duration(-1), time.Second
	withdrawn := []string{"withdraw p:1 expired"}
	for name, tc := range map[string]struct {
		idempotency policy.Idempotency
		ends        []outcome.Kind  // of the earlier attempts, 1 s after each was sent; the last one has no connection yet
		written     bool            // the last attempt is written in full
		expires     []time.Duration // the expiry of each attempt, as the time since the first was sent
		actions     []string        // on the last attempt, until 3 s after the first was sent
		responses   []request.Kind
	}{
		"idempotent": {idempotency: policy.Idempotent, ends: []outcome.Kind{outcome.ResetByPeer}, expires: []time.Duration{never, never}},
		"the first may have run": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.ResetByPeer},
			expires: []time.Duration{never, 3*second - 11*time.Millisecond}, actions: withdrawn, responses: []request.Kind{request.Rejected},
		},
		"the first has timed out": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.TimedOut},
			expires: []time.Duration{never, 3*second - 11*time.Millisecond}, actions: withdrawn, responses: []request.Kind{request.Rejected},
		},
		"the second is written": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.ResetByPeer}, written: true,
			expires: []time.Duration{never, 3*second - 11*time.Millisecond},
		},
		"the first never ran": {idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.Declined}, expires: []time.Duration{never, never}},
		"the second may have run": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.Declined, outcome.ResetByPeer},
			expires: []time.Duration{never, never, 4*second - 11*time.Millisecond},
		},
		"the first two may have run": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.ServerError, outcome.ResetByPeer},
			expires: []time.Duration{never, 3*second - 11*time.Millisecond, 3*second - 11*time.Millisecond},
			actions: withdrawn, responses: []request.Kind{request.Rejected},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := new(delayedUpstream)
				d, err := New(Options{Policy: policy.Config{MaxAttempts: 4, Round: 5, Classes: []policy.Class{{
					LatencyObjective: 2e4, Deadline: 6e4,
					Idempotency: tc.idempotency, KeyWindow: 3000,
				}}}, Upstream: u, DrainGrace: time.Minute})
				if err != nil {
					t.Fatal(err)
				}
				list := endpoints.List{}
				for i := range 4 {
					list.Endpoints = append(list.Endpoints, endpoints.Endpoint{ID: fmt.Sprint(i), Address: "p:1", Phase: endpoints.Serving})
				}
				d.applyEndpoints(list)
				var got []request.Kind
				req := &request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Minute,
					Respond: func(resp request.Response) { got = append(got, resp.Kind) },
				}
				first := time.Now()
				requestArrived{req}.apply(d)
				d.fillRetryBudget()
				for i, end := range tc.ends {
					time.Sleep(second)
					d.fireTimers()
					u.attempts[i].over = true
					d.endAttempt(d.requests[d.requestIDs[req]].attempt, upstream.Result{Outcome: end})
				}
				if tc.written {
					u.attempts[len(u.attempts)-1].over = true
				}
				var expires []time.Duration
				for _, attempt := range u.attempts {
					expires = append(expires, never)
					if !attempt.Expires.IsZero() {
						expires[len(expires)-1] = attempt.Expires.Sub(first)
					}
				}
				u.actions = nil
				time.Sleep(time.Until(first.Add(3*second - 12*time.Millisecond)))
				d.fireTimers()
				before := len(u.actions) + len(got)
				time.Sleep(time.Millisecond)
				d.fireTimers()
				if !slices.Equal(expires, tc.expires) || !slices.Equal(u.actions, tc.actions) || !slices.Equal(got, tc.responses) || before > 0 {
					t.Errorf("expire at %v, actions %q, responses %v, %d too early", expires, u.actions, got, before)
				}
			})
		})
	}
}
