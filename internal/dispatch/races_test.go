package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// delayedUpstream is an upstream whose connections have not come up yet. It records what is done to its attempts.
type delayedUpstream struct {
	refusingUpstream
	attempts []*delayedAttempt
	actions  []string
}

type delayedEndpoint struct {
	upstream      *delayedUpstream
	name, address string
}

type delayedAttempt struct {
	*delayedEndpoint
	upstream.AttemptOptions
	over bool
}

func (d *delayedUpstream) Endpoint(name, address string) upstream.Endpoint {
	return &delayedEndpoint{d, name, address}
}

func (e *delayedEndpoint) Address() string { return e.address }
func (e *delayedEndpoint) Close()          {}
func (e *delayedEndpoint) Start(t upstream.AttemptOptions) upstream.Attempt {
	c := &delayedAttempt{e, t, false}
	e.upstream.attempts = append(e.upstream.attempts, c)
	e.upstream.actions = append(e.upstream.actions, "start "+e.address)
	return c
}

func (c *delayedAttempt) StartBy(time.Time) {}
func (c *delayedAttempt) Cancel(why outcome.Kind) (outcome.Kind, bool) {
	return c.end("cancel", why)
}

func (c *delayedAttempt) Withdraw(why outcome.Kind) (outcome.Kind, bool) {
	return c.end("withdraw", why)
}

func (c *delayedAttempt) end(how string, why outcome.Kind) (outcome.Kind, bool) {
	if c.over {
		return outcome.Open, false
	}
	c.over = true
	c.upstream.actions = append(c.upstream.actions, fmt.Sprint(how, " ", c.address, " ", why.Unsent()))
	return why.Unsent(), true
}

// Attempts whose connections are still coming up when something makes them useless are withdrawn, whether or not the settings allow
// running ones to be cancelled.
func TestUnwantedAttemptIsWithdrawn(t *testing.T) {
	serving := func(id, address string, since float64) endpoints.Endpoint {
		return endpoints.Endpoint{ID: id, Address: address, Phase: endpoints.Serving, StartedAt: since}
	}
	for name, tc := range map[string]struct {
		endpoints   []endpoints.Endpoint
		act         func(d *Dispatcher, req *request.Request, u *delayedUpstream)
		actions     []string
		responses   []request.Response
		clientsGone int
	}{
		"the client leaves": {[]endpoints.Endpoint{serving("s", "p:1", 0)}, func(d *Dispatcher, req *request.Request, _ *delayedUpstream) {
			clientGone{request: req}.apply(d)
		}, []string{"start p:1", "withdraw p:1 withdrawn"}, nil, 1},
		"a shutdown that leaves less time than the attempt has": {
			[]endpoints.Endpoint{serving("s", "p:1", 0)},
			func(d *Dispatcher, _ *request.Request, _ *delayedUpstream) {
				shutdownScheduled{schedule: shutdown.NewSchedule(time.Minute, time.Second), signalledAt: time.Now()}.apply(d)
				time.Sleep(time.Second)
				d.fireTimers()
			},
			[]string{"start p:1", "withdraw p:1 withdrawn"},
			[]request.Response{{Kind: request.Failed}},
			0,
		},
		"another process under the same id": {
			[]endpoints.Endpoint{serving("s", "p:1", 1), serving("t", "p:1", 1)},
			func(d *Dispatcher, _ *request.Request, _ *delayedUpstream) {
				d.retryFreely()
				d.applyEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{serving("s", "p:2", 1), serving("t", "p:3", 1)}})
			},
			[]string{"start p:1", "withdraw p:1 drained", "start elsewhere"},
			nil, 0,
		},
		"another start of the same process": {
			[]endpoints.Endpoint{serving("s", "p:1", 1), serving("t", "p:1", 1)},
			func(d *Dispatcher, _ *request.Request, _ *delayedUpstream) {
				d.retryFreely()
				d.applyEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{serving("s", "p:1", 2), serving("t", "p:1", 2)}})
			},
			[]string{"start p:1", "withdraw p:1 drained", "start elsewhere"},
			nil, 0,
		},
		"an attempt fails while the event of the client's end waits": {
			[]endpoints.Endpoint{serving("s", "p:1", 0), serving("t", "p:1", 0)},
			func(d *Dispatcher, req *request.Request, u *delayedUpstream) {
				d.retryFreely()
				d.ClientGone(req)
				u.attempts[0].over = true
				d.endAttempt(1, upstream.Result{Outcome: outcome.Declined})
				(<-d.events).apply(d)
			},
			[]string{"start p:1"},
			nil, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := new(delayedUpstream)
				d, err := New(Options{
					Policy: policy.Config{MaxAttempts: 3, Classes: []policy.Class{{LatencyObjective: 1e4, Deadline: 6e4}}}, Upstream: u,
					DrainGrace: time.Minute,
				})
				if err != nil {
					t.Fatal(err)
				}
				d.applyEndpoints(endpoints.List{Endpoints: tc.endpoints})
				before := d.sizes()
				var got []request.Response
				req := &request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Minute,
					Respond: func(a request.Response) { got = append(got, a) },
				}
				requestArrived{req}.apply(d)
				tc.act(d, req, u)
				for i, action := range u.actions[1:] {
					if strings.HasPrefix(action, "start") {
						u.actions[i+1] = "start elsewhere"
					}
				}
				if !slices.Equal(u.actions, tc.actions) || !slices.EqualFunc(got, tc.responses, func(a, b request.Response) bool {
					return a.Kind == b.Kind && a.MayHaveRun == b.MayHaveRun
				}) || d.counts.ClientsGone != tc.clientsGone {
					t.Errorf("%q, %+v, %d gone", u.actions, got, d.counts.ClientsGone)
				}
				if last := tc.actions[len(tc.actions)-1]; last != "start elsewhere" {
					time.Sleep(time.Minute) // until its timers have passed
					d.fireTimers()
					if after := d.sizes(); after.Requests != before.Requests || after.Attempts != before.Attempts || after.Open != before.Open {
						t.Errorf("%+v, was %+v", after, before)
					}
				}
			})
		})
	}
}

// retryFreely has so many requests come and go that the retry budget allows a further attempt.
func (d *Dispatcher) retryFreely() {
	for i := range 20 {
		req := &request.Request{ID: fmt.Sprint("x", i), SentAt: time.Now(), Timeout: time.Minute, Respond: func(request.Response) {}}
		requestArrived{req}.apply(d)
		clientGone{request: req}.apply(d)
	}
	u := d.options.Upstream.(*delayedUpstream)
	u.attempts, u.actions, d.counts.ClientsGone = u.attempts[:1], u.actions[:1], 0
}

// Cancel reports whether an attempt may have run, also where the end of an attempt has found before that the client is gone.
func TestCancelAfterClientWasFoundGone(t *testing.T) {
	for how, want := range map[outcome.Kind]bool{outcome.Withdrawn: false, outcome.Declined: false, outcome.ResetByPeer: true} {
		t.Run(how.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := new(delayedUpstream)
				d, err := New(Options{Policy: policy.Config{MaxAttempts: 3, Classes: []policy.Class{{LatencyObjective: 1e4, Deadline: 6e4}}}, Upstream: u})
				if err != nil {
					t.Fatal(err)
				}
				d.applyEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "s", Address: "p:1", Phase: endpoints.Serving}}})
				req := &request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Minute, ClientGone: func() bool { return true },
					Respond: func(a request.Response) { t.Errorf("answered: %+v", a) },
				}
				requestArrived{req}.apply(d)
				req.CheckClientGone()
				u.attempts[0].over = true
				d.endAttempt(1, upstream.Result{Outcome: how})
				reply := make(chan bool, 1)
				clientGone{req, reply}.apply(d)
				if got := <-reply; got != want || d.counts.ClientsGone != 1 || len(u.attempts) != 1 {
					t.Errorf("may have run: %t, want %t; %d gone, %d attempts", got, want, d.counts.ClientsGone, len(u.attempts))
				}
			})
		})
	}
}
