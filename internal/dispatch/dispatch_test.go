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
func (refusingEnd) Start(t upstream.Task) upstream.Call {
	go t.Ended(upstream.Result{Ending: outcome.Refused})
	return refusedCall{}
}

type refusedCall struct{}

func (refusedCall) Stop(outcome.Ending) (outcome.Ending, bool)     { return 0, false }
func (refusedCall) Withdraw(outcome.Ending) (outcome.Ending, bool) { return 0, false }
func (refusedCall) NotAfter(time.Time)                             {}

// host returns a Pool that knows no provider yet, run by the test itself.
func host(t *testing.T) *Pool {
	t.Helper()
	s, err := New(Options{
		Logic:  policy.Config{MaxAttempts: 1, Cancel: true, Classes: []policy.Class{{LatencyObjective: 100, Deadline: 1000}}},
		Caller: refusing{},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type sizes struct{ Providers, IDs, Numbers, Held, Open, Calls, Timers int }

func (s *Pool) sizes() sizes {
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
			s.list(endpoints.List{Members: []endpoints.Member{
				{ID: name, Address: "p:1", Phase: endpoints.Serving},
				{ID: was, Phase: endpoints.Deleted},
			}})
			arrived{&request.Invocation{
				ID: name, SentAt: time.Now(), Patience: time.Second,
				Answer: func(request.Answer) {},
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
		if diff := cmp.Diff(before, s.sizes()); diff != "" || s.counts.Sent != 20000 || len(s.gone) > goneMost {
			t.Errorf("%d sent, %d gone\n%s", s.counts.Sent, len(s.gone), diff)
		}
	})
}

// Two open invocations of one id: the second is turned away, untaken, and the id is free again with the first's answer.
func TestAnOpenIDIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		var got []request.Kind
		for range 3 {
			s.list(endpoints.List{Members: []endpoints.Member{{ID: "s", Address: "p:1", Phase: endpoints.Serving}}})
			for range 2 {
				arrived{&request.Invocation{
					ID: "a", SentAt: time.Now(), Patience: time.Second,
					Answer: func(a request.Answer) { got = append(got, a.Kind) },
				}}.apply(s)
			}
			synctest.Wait()
			for len(s.calls) > 0 {
				(<-s.events).apply(s)
			}
		}
		want := []request.Kind{
			request.Conflict, request.Refused, request.Conflict, request.Refused,
			request.Conflict, request.Refused,
		}
		if diff := cmp.Diff(want, got); diff != "" || s.counts.Conflicts != 3 || s.counts.Calls[outcome.Refused] != 3 {
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
		inv := &request.Invocation{ID: fmt.Sprint(i)}
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
	s := &Pool{set: Options{Whole: settings.Whole}, calls: map[uint64]*attempt{}, providers: map[policy.ServerID]*known{}}
	s.stepping = true // the module's events are looked at, not handled
	for _, report := range []string{`{"active":3}`, `{"active":null,"avg_ms":20}`, `{"avg_ms":3}`, `{"act`, ``} {
		s.calls[1] = &attempt{probe: true, end: &timer{index: -1}}
		s.ended(1, upstream.Result{Ending: outcome.Served, Report: loadreport.Parse([]byte(report))})
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
	const none = staleness.Sign(255)
	for e, want := range map[outcome.Ending][2]staleness.Sign{
		outcome.Served: {staleness.Alive, staleness.Alive}, outcome.Refused: {staleness.Refused, staleness.Refused},
		outcome.Declined: {none, staleness.Draining}, outcome.ServerError: {none, staleness.Draining},
		outcome.TimedOut: {none, none}, outcome.ConnectTimeout: {none, none}, outcome.LocalFault: {none, none},
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
		s.list(endpoints.List{Members: []endpoints.Member{{ID: "a", Address: "p:1", Phase: endpoints.Serving, UpSince: up}}})
		probe := s.start(s.providers[s.serverID("a")], nil, &attempt{probe: true, server: s.serverID("a")}, time.Second)
		s.ended(probe, upstream.Result{Ending: outcome.Served})
		time.Sleep(1500 * time.Millisecond)
		arrived{&request.Invocation{
			ID: "r", SentAt: time.Now(), Patience: time.Second,
			Answer: func(request.Answer) {},
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
			Logic: policy.Config{
				MaxAttempts: 1, Cancel: true, Probes: true,
				Classes: []policy.Class{{LatencyObjective: 100, Deadline: 1000}},
			}, Caller: refusing{}, DrainGrace: 750 * time.Millisecond,
			Known: endpoints.List{Members: []endpoints.Member{
				{ID: "a", Address: "a:1", Phase: endpoints.Serving},
				{ID: "b", Address: "b:1", Phase: endpoints.Serving},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		s.Trust(staleness.Trust{Sure: time.Now().Add(time.Second)})
		for i, want := range []int{1, 1} {
			inv := &request.Invocation{
				ID: fmt.Sprint(i), Patience: time.Second, SentAt: time.Now(),
				Answer: func(request.Answer) {},
			}
			s.Take(inv)
			time.Sleep(2 * time.Second)
			if c := s.Counts(); c.Sent != want || c.Probes == 0 {
				t.Errorf("request %d: %d sent, want %d; %d probes", i, c.Sent, want, c.Probes)
			}
		}
		cancel()
		<-s.Stopped()
	})
}

// The word that a provider drains goes before all else that waits: however much that is, nothing of it is sent there.
func TestWordsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := host(t)
		line := func(id, phase string) endpoints.Member {
			return endpoints.Member{ID: id, Address: id + ":1", Phase: phase}
		}
		s.list(endpoints.List{Complete: true, Members: []endpoints.Member{line("a", endpoints.Serving), line("b", endpoints.Serving)}})
		for i := range eventsAhead / 2 {
			s.Take(&request.Invocation{ID: fmt.Sprint(i), SentAt: time.Now(), Patience: time.Second, Answer: func(request.Answer) {}})
		}
		var sent []string
		s.set.Trace = func(format string, args ...any) {
			if strings.HasPrefix(format, "trace=start") {
				sent = append(sent, args[1].(string))
			}
		}
		s.Told(endpoints.List{Members: []endpoints.Member{line("a", endpoints.Draining)}}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		synctest.Wait()
		cancel()
		<-s.Stopped()
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
			l.Members = append(l.Members, endpoints.Member{ID: fmt.Sprint(i), Address: "p:1", Phase: phase})
		}
		s.list(l)
	}
	if n := len(s.snapshot(time.Now()).Members); n != 2000 {
		t.Errorf("%d of 2000", n)
	}
}
