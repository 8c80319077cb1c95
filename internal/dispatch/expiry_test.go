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

// Servers drop a repeat of a request with an idempotency key for 3 s after its first attempt that may have run was sent. Each further
// attempt expires at that moment, less the policy's margin of 11 ms, and is withdrawn then if it is not written whole: its client is
// answered at once.
func TestFurtherAttemptsExpire(t *testing.T) {
	const never, second = time.Duration(-1), time.Second
	withdrawn := []string{"withdraw p:1 expired"}
	for name, tc := range map[string]struct {
		idempotency policy.Idempotency
		ends        []outcome.Kind  // of its attempts, a second after each was sent; the last one's connection does not come up
		written     bool            // or does
		expires     []time.Duration // of each attempt, from the first one on
		actions     []string        // done to the last attempt within 3 s of the first
		answers     []request.Kind
	}{
		"what may run twice": {idempotency: policy.Idempotent, ends: []outcome.Kind{outcome.ResetByPeer}, expires: []time.Duration{never, never}},
		"the first may have run": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.ResetByPeer},
			expires: []time.Duration{never, 3*second - 11*time.Millisecond}, actions: withdrawn, answers: []request.Kind{request.Rejected},
		},
		"the first has timed out": {
			idempotency: policy.WithIdempotencyKey, ends: []outcome.Kind{outcome.TimedOut},
			expires: []time.Duration{never, 3*second - 11*time.Millisecond}, actions: withdrawn, answers: []request.Kind{request.Rejected},
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
			actions: withdrawn, answers: []request.Kind{request.Rejected},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := new(delayedUpstream)
				d, err := New(Options{Policy: policy.Config{MaxAttempts: 4, Round: 5, Classes: []policy.Class{{
					LatencyObjective: 2e4, Deadline: 6e4,
					Idempotency: tc.idempotency, KeyWindow: 3000,
				}}}, Upstream: c, DrainGrace: time.Minute})
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
					Respond: func(a request.Response) { got = append(got, a.Kind) },
				}
				first := time.Now()
				requestArrived{req}.apply(d)
				d.retryFreely()
				for i, end := range tc.ends {
					time.Sleep(second)
					d.fireTimers()
					c.attempts[i].over = true
					d.endAttempt(d.requests[d.requestIDs[req]].attempt, upstream.Result{Outcome: end})
				}
				if tc.written {
					c.attempts[len(c.attempts)-1].over = true
				}
				var expires []time.Duration
				for _, call := range c.attempts {
					expires = append(expires, never)
					if !call.Expires.IsZero() {
						expires[len(expires)-1] = call.Expires.Sub(first)
					}
				}
				c.actions = nil
				time.Sleep(time.Until(first.Add(3*second - 12*time.Millisecond)))
				d.fireTimers()
				before := len(c.actions) + len(got)
				time.Sleep(time.Millisecond)
				d.fireTimers()
				if !slices.Equal(expires, tc.expires) || !slices.Equal(c.actions, tc.actions) || !slices.Equal(got, tc.answers) || before > 0 {
					t.Errorf("expire %v, did %q, answers %v, %d too early", expires, c.actions, got, before)
				}
			})
		})
	}
}
