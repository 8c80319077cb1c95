package dispatch

import (
	"context"
	"fmt"
	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/loadreport"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// refusing is a caller to whom no provider opens a connection.
type refusing struct{}

func (refusing) Endpoint(_, address string) upstream.Endpoint   { return refusingEnd(address) }
func (refusing) Forget(string)                                  {}
func (refusing) State(time.Time) ([]byte, error)                { return nil, nil }
func (refusing) Restore(time.Time, []byte, time.Duration) error { return nil }

type refusingEnd string

func (e refusingEnd) Address() string { return string(e) }
func (refusingEnd) Close()            {}
func (refusingEnd) Start(t upstream.AttemptOptions) upstream.Attempt {
	go t.OnEnd(upstream.Result{Outcome: outcome.ConnectRefused})
	return refusedCall{}
}

type refusedCall struct{}

func (refusedCall) Cancel(outcome.Kind) (outcome.Kind, bool)   { return 0, false }
func (refusedCall) Withdraw(outcome.Kind) (outcome.Kind, bool) { return 0, false }
func (refusedCall) StartBy(time.Time)                          {}

// host returns a Pool that knows no provider yet, run by the test itself.
func host(t *testing.T) *Dispatcher {
	t.Helper()
	s, err := New(Options{
		Policy:   policy.Config{MaxAttempts: 1, Cancel: true, Classes: []policy.Class{{LatencyObjective: 100, Deadline: 1000}}},
		Upstream: refusing{},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type sizes struct{ Providers, IDs, Numbers, Held, Open, Calls, Timers int }

func (s *Dispatcher) sizes() sizes {
	return sizes{len(s.providers), len(s.serverIDs), len(s.numbers), len(s.held), len(s.open), len(s.calls), len(s.timers)}
}

// Providers are replaced by new ones under new ids all day long, and each call ends long before its time: nothing may be
// kept of those that are gone.
func TestWhatIsGoneIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		before := s.sizes()
		for i := range 20000 {
			name, was := fmt.Sprintf("s-%d", i), fmt.Sprintf("s-%d", i-1)
			s.list(endpoints.List{Endpoints: []endpoints.Endpoint{
				{ID: name, Address: "p:1", Phase: endpoints.Serving},
				{ID: was, Phase: endpoints.Deleted},
			}})
			arrived{&request.Request{
				ID: name, SentAt: time.Now(), Timeout: time.Second,
				Respond: func(request.Response) {},
			}}.apply(s)
			synctest.Wait()
			for len(s.calls) > 0 {
				(<-s.events).apply(s)
			}
			time.Sleep(10 * time.Millisecond)
			s.due()
		}
		s.list(endpoints.List{Complete: true})
		time.Sleep(time.Second) // until the last deadline
		s.due()
		if diff := cmp.Diff(before, s.sizes()); diff != "" || s.counts.Attempts != 20000 || len(s.gone) > goneMost {
			t.Errorf("%d sent, %d gone\n%s", s.counts.Attempts, len(s.gone), diff)
		}
	})
}

// Two open invocations of one id: the second is turned away, untaken, and the id is free again with the first's answer.
func TestAnOpenIDIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		var got []request.Kind
		for range 3 {
			s.list(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "s", Address: "p:1", Phase: endpoints.Serving}}})
			for range 2 {
				arrived{&request.Request{
					ID: "a", SentAt: time.Now(), Timeout: time.Second,
					Respond: func(a request.Response) { got = append(got, a.Kind) },
				}}.apply(s)
			}
			synctest.Wait()
			for len(s.calls) > 0 {
				(<-s.events).apply(s)
			}
		}
		want := []request.Kind{
			request.Duplicate, request.Rejected, request.Duplicate, request.Rejected,
			request.Duplicate, request.Rejected,
		}
		if diff := cmp.Diff(want, got); diff != "" || s.counts.Conflicts != 3 || s.counts.AttemptOutcomes[outcome.ConnectRefused] != 3 {
			t.Errorf("%+v\n%s", s.counts, diff)
		}
	})
}

// When Run has ended, Cancel still tells what was never sent from what may have run; what it does not know may have.
func TestCancelAfterTheEnd(t *testing.T) {
	s := host(t)
	ctx, end := context.WithCancel(t.Context())
	end()
	for i, h := range []*held{{}, {call: 1}, {mayRun: true}, nil} {
		inv := &request.Request{ID: fmt.Sprint(i)}
		if id := policy.RequestID(i + 1); h != nil {
			s.held[id], s.byInv[inv] = h, id
		}
		if i == 0 {
			s.Run(ctx)
		}
		if mayRun := s.Cancel(inv); mayRun != (i > 0) {
			t.Errorf("%+v: may have run: %t", h, mayRun)
		}
	}
}

// A probe's answer whose report can't be read, or lacks the load, says nothing: a zero made up for it would look like a
// provider with nothing to do.
func TestUnreadableReportsAreLeftOut(t *testing.T) {
	settings := config.Settings{}
	settings.Report.Names = []string{"active", "avg_ms"}
	s := &Dispatcher{set: Options{IsComplete: settings.IsComplete}, calls: map[uint64]*attempt{}, providers: map[policy.ServerID]*known{}}
	s.stepping = true // the module's events are looked at, not handled
	for _, report := range []string{`{"active":3}`, `{"active":null,"avg_ms":20}`, `{"avg_ms":3}`, `{"act`, ``} {
		s.calls[1] = &attempt{probe: true, end: &timer{index: -1}}
		s.ended(1, upstream.Result{Outcome: outcome.Served, Report: loadreport.Parse([]byte(report))})
	}
	var got []policy.Status
	for _, e := range s.pending {
		got = append(got, e.Status)
	}
	want := []policy.Status{policy.OK, policy.NotSent, policy.NotSent, policy.NotSent, policy.NotSent}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// What an ending says of the list: a refused connection and a probe that is turned away speak against it, an answer for it, and
// a request that is turned away says nothing, since a queue may have been full.
func TestSigns(t *testing.T) {
	const none = staleness.Evidence(255)
	for e, want := range map[outcome.Kind][2]staleness.Evidence{
		outcome.Served: {staleness.Alive, staleness.Alive}, outcome.ConnectRefused: {staleness.ConnectRefused, staleness.ConnectRefused},
		outcome.Declined: {none, staleness.Draining}, outcome.ServerError: {none, staleness.Draining},
		outcome.TimedOut: {none, none}, outcome.ConnectTimeout: {none, none}, outcome.LocalError: {none, none},
	} {
		for i, probe := range []bool{false, true} {
			got, is := signOf(e, probe)
			if !is {
				got = none
			}
			if got != want[i] {
				t.Errorf("%s, probe %t: %d, want %d", e, probe, got, want[i])
			}
		}
	}
}

// The trace says of each attempt what it was decided on, and how it ended.
func TestTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		var got []string
		s.set.Trace = func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
		up := float64(time.Now().UnixMilli())
		s.list(endpoints.List{Endpoints: []endpoints.Endpoint{{ID: "a", Address: "p:1", Phase: endpoints.Serving, StartedAt: up}}})
		probe := s.start(s.providers[s.serverID("a")], nil, &attempt{probe: true, server: s.serverID("a")}, time.Second)
		s.ended(probe, upstream.Result{Outcome: outcome.Served})
		time.Sleep(1500 * time.Millisecond)
		arrived{&request.Request{
			ID: "r", SentAt: time.Now(), Timeout: time.Second,
			Respond: func(request.Response) {},
		}}.apply(s)
		synctest.Wait()
		for len(s.calls) > 0 {
			(<-s.events).apply(s)
		}
		want := []string{
			"trace=start of=probe provider=a try=0 news_ms=-1 age_ms=0 request=-",
			"trace=end of=probe provider=a ending=served took_ms=0.0 request=-",
			"trace=request id=r state=taken class=0 tenant=0 left_ms=1000",
			"trace=start of=call provider=a try=0 news_ms=1500 age_ms=1500 request=r",
			"trace=end of=call provider=a ending=refused took_ms=0.0 request=r",
			"trace=request id=r state=unserved why=no_retry",
			"trace=request id=r state=answered kind=refused attempts=1 may_have_run=false took_ms=0.0",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Once the list is not sure a provider gets no request before a probe has been answered by the process that the list names.
func TestUnsureListGetsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := New(Options{
			Policy: policy.Config{
				MaxAttempts: 1, Cancel: true, Probes: true,
				Classes: []policy.Class{{LatencyObjective: 100, Deadline: 1000}},
			}, Upstream: refusing{}, DrainGrace: 750 * time.Millisecond,
			InitialEndpoints: endpoints.List{Endpoints: []endpoints.Endpoint{
				{ID: "a", Address: "a:1", Phase: endpoints.Serving},
				{ID: "b", Address: "b:1", Phase: endpoints.Serving},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		s.SetListValidity(staleness.Validity{ListUntil: time.Now().Add(time.Second)})
		for i, want := range []int{1, 1} {
			inv := &request.Request{
				ID: fmt.Sprint(i), Timeout: time.Second, SentAt: time.Now(),
				Respond: func(request.Response) {},
			}
			s.Submit(inv)
			time.Sleep(2 * time.Second)
			if c := s.Counts(); c.Attempts != want || c.Probes == 0 {
				t.Errorf("request %d: %d sent, want %d; %d probes", i, c.Attempts, want, c.Probes)
			}
		}
		cancel()
		<-s.Done()
	})
}

// The word that a provider drains goes before all else that waits: however much that is, nothing of it is sent there.
func TestWordsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		line := func(id, phase string) endpoints.Endpoint {
			return endpoints.Endpoint{ID: id, Address: id + ":1", Phase: phase}
		}
		s.list(endpoints.List{Complete: true, Endpoints: []endpoints.Endpoint{line("a", endpoints.Serving), line("b", endpoints.Serving)}})
		for i := range eventsAhead / 2 {
			s.Submit(&request.Request{ID: fmt.Sprint(i), SentAt: time.Now(), Timeout: time.Second, Respond: func(request.Response) {}})
		}
		var sent []string
		s.set.Trace = func(format string, args ...any) {
			if strings.HasPrefix(format, "trace=start") {
				sent = append(sent, args[1].(string))
			}
		}
		s.UpdateEndpoints(endpoints.List{Endpoints: []endpoints.Endpoint{line("a", endpoints.Draining)}}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		synctest.Wait()
		cancel()
		<-s.Done()
		if n := len(sent); n == 0 || slices.Contains(sent, "a") {
			t.Errorf("%d sent: %q", n, sent[:min(n, 20)])
		}
	})
}

// A release may replace all of a large fleet at once: the next process is told of each that is gone.
func TestAllThatAreGoneAreKeptInMind(t *testing.T) {
	s := host(t)
	for _, phase := range []string{endpoints.Serving, endpoints.Deleted} {
		l := endpoints.List{}
		for i := range 2000 {
			l.Endpoints = append(l.Endpoints, endpoints.Endpoint{ID: fmt.Sprint(i), Address: "p:1", Phase: phase})
		}
		s.list(l)
	}
	if n := len(s.snapshot(time.Now()).Members); n != 2000 {
		t.Errorf("%d of 2000", n)
	}
}
