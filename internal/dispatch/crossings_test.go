package dispatch

import (
	"fmt"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// slow is a caller whose connections have not come up yet, and what was asked of it.
type slow struct {
	refusing
	calls []*slowCall
	did   []string
}

type slowEnd struct {
	of            *slow
	name, address string
}

type slowCall struct {
	*slowEnd
	upstream.AttemptOptions
	over bool
}

func (s *slow) Endpoint(name, address string) upstream.Endpoint { return &slowEnd{s, name, address} }

func (e *slowEnd) Address() string { return e.address }
func (e *slowEnd) Close()          {}
func (e *slowEnd) Start(t upstream.AttemptOptions) upstream.Attempt {
	c := &slowCall{e, t, false}
	e.of.calls = append(e.of.calls, c)
	e.of.did = append(e.of.did, "start "+e.address)
	return c
}

func (c *slowCall) StartBy(time.Time) {}
func (c *slowCall) Cancel(why outcome.Kind) (outcome.Kind, bool) {
	return c.end("stop", why)
}

func (c *slowCall) Withdraw(why outcome.Kind) (outcome.Kind, bool) {
	return c.end("withdraw", why)
}

func (c *slowCall) end(how string, why outcome.Kind) (outcome.Kind, bool) {
	if c.over {
		return outcome.Open, false
	}
	c.over = true
	c.of.did = append(c.of.did, fmt.Sprint(how, " ", c.address, " ", why.Unsent()))
	return why.Unsent(), true
}

// Attempts whose connections are still coming up when something else comes: nothing of them is wanted any more, whether or not
// the settings let running ones be called off.
func TestWhatIsNotWantedAnyMoreIsWithdrawn(t *testing.T) {
	serving := func(id, address string, since float64) endpoints.Endpoint {
		return endpoints.Endpoint{ID: id, Address: address, Phase: endpoints.Serving, StartedAt: since}
	}
	for name, tc := range map[string]struct {
		members []endpoints.Endpoint
		play    func(s *Dispatcher, inv *request.Request, c *slow)
		did     []string
		answers []request.Response
		gone    int
	}{
		"the consumer leaves": {[]endpoints.Endpoint{serving("s", "p:1", 0)}, func(s *Dispatcher, inv *request.Request, c *slow) {
			abandoned{inv: inv}.apply(s)
		}, []string{"start p:1", "withdraw p:1 withdrawn"}, nil, 1},
		"a word to stop that leaves less time than the attempt has": {
			[]endpoints.Endpoint{serving("s", "p:1", 0)},
			func(s *Dispatcher, inv *request.Request, c *slow) {
				stopNow{plan: shutdown.NewSchedule(time.Minute, time.Second), at: time.Now()}.apply(s)
				time.Sleep(time.Second)
				s.due()
			},
			[]string{"start p:1", "withdraw p:1 withdrawn"},
			[]request.Response{{Kind: request.Failed}},
			0,
		},
		"another process under the same id": {
			[]endpoints.Endpoint{serving("s", "p:1", 1), serving("t", "p:1", 1)},
			func(s *Dispatcher, inv *request.Request, c *slow) {
				s.retryFreely()
				s.list(endpoints.List{Endpoints: []endpoints.Endpoint{serving("s", "p:2", 1), serving("t", "p:3", 1)}})
			},
			[]string{"start p:1", "withdraw p:1 drained", "start elsewhere"},
			nil, 0,
		},
		"another start of the same process": {
			[]endpoints.Endpoint{serving("s", "p:1", 1), serving("t", "p:1", 1)},
			func(s *Dispatcher, inv *request.Request, c *slow) {
				s.retryFreely()
				s.list(endpoints.List{Endpoints: []endpoints.Endpoint{serving("s", "p:1", 2), serving("t", "p:1", 2)}})
			},
			[]string{"start p:1", "withdraw p:1 drained", "start elsewhere"},
			nil, 0,
		},
		"an attempt fails, and the word of the consumer's end waits": {
			[]endpoints.Endpoint{serving("s", "p:1", 0), serving("t", "p:1", 0)},
			func(s *Dispatcher, inv *request.Request, c *slow) {
				s.retryFreely()
				s.ClientGone(inv)
				c.calls[0].over = true
				s.ended(1, upstream.Result{Outcome: outcome.Declined})
				(<-s.events).apply(s)
			},
			[]string{"start p:1"},
			nil, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := new(slow)
				s, err := New(Options{
					Policy: policy.Config{MaxAttempts: 3, Classes: []policy.Class{{LatencyObjective: 1e4, Deadline: 6e4}}}, Upstream: c,
					DrainGrace: time.Minute,
				})
				if err != nil {
					t.Fatal(err)
				}
				s.list(endpoints.List{Endpoints: tc.members})
				before := s.sizes()
				var got []request.Response
				inv := &request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Minute,
					Respond: func(a request.Response) { got = append(got, a) },
				}
				arrived{inv}.apply(s)
				tc.play(s, inv, c)
				for i, did := range c.did[1:] {
					if did[:3] == "sta" {
						c.did[i+1] = "start elsewhere"
					}
				}
				if !slices.Equal(c.did, tc.did) || !slices.EqualFunc(got, tc.answers, func(a, b request.Response) bool {
					return a.Kind == b.Kind && a.MayHaveRun == b.MayHaveRun
				}) || s.counts.ClientsGone != tc.gone {
					t.Errorf("%q, %+v, %d gone", c.did, got, s.counts.ClientsGone)
				}
				if last := tc.did[len(tc.did)-1]; last != "start elsewhere" {
					time.Sleep(time.Minute) // until its timers have passed
					s.due()
					if after := s.sizes(); after.Held != before.Held || after.Calls != before.Calls || after.Open != before.Open {
						t.Errorf("%+v, was %+v", after, before)
					}
				}
			})
		})
	}
}

// retryFreely has so many invocations come and go that a further attempt is allowed.
func (s *Dispatcher) retryFreely() {
	for i := range 20 {
		inv := &request.Request{ID: fmt.Sprint("x", i), SentAt: time.Now(), Timeout: time.Minute, Respond: func(request.Response) {}}
		arrived{inv}.apply(s)
		abandoned{inv: inv}.apply(s)
	}
	c := s.set.Upstream.(*slow)
	c.calls, c.did, s.counts.ClientsGone = c.calls[:1], c.did[:1], 0
}

// Whoever cancels learns whether an attempt may have run, also where an attempt has found before that its consumer had left.
func TestCancelAfterItWasFoundToHaveLeft(t *testing.T) {
	for how, want := range map[outcome.Kind]bool{outcome.Withdrawn: false, outcome.Declined: false, outcome.ResetByPeer: true} {
		t.Run(how.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := new(slow)
				s, err := New(Options{Policy: policy.Config{MaxAttempts: 3, Classes: []policy.Class{{LatencyObjective: 1e4, Deadline: 6e4}}}, Upstream: c})
				if err != nil {
					t.Fatal(err)
				}
				s.list(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "s", Address: "p:1", Phase: endpoints.Serving}}})
				inv := &request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Minute, ClientGone: func() bool { return true },
					Respond: func(a request.Response) { t.Errorf("answered: %+v", a) },
				}
				arrived{inv}.apply(s)
				inv.CheckClientGone()
				c.calls[0].over = true
				s.ended(1, upstream.Result{Outcome: how})
				told := make(chan bool, 1)
				abandoned{inv, told}.apply(s)
				if got := <-told; got != want || s.counts.ClientsGone != 1 || len(c.calls) != 1 {
					t.Errorf("may have run: %t, want %t; %d gone, %d attempts", got, want, s.counts.ClientsGone, len(c.calls))
				}
			})
		})
	}
}
