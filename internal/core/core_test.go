package core

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/invocation"
	"plankrouter/internal/loadreport"
	"plankrouter/internal/members"
	"plankrouter/internal/provider"
	"plankrouter/internal/sockets"
	"plankrouter/logic"
)

// host returns a Pool that knows no provider yet, run by the test itself; no connection comes up.
func host(t *testing.T, ctx context.Context, group *errgroup.Group) *Pool {
	t.Helper()
	cfg := &config.Config{Logic: logic.Config{MaxAttempts: 1, Cancel: true, Classes: []logic.Class{{Aim: 100, Deadline: 1000}}},
		ConnIdle: time.Minute, ConnectTimeout: time.Second}
	refuse := func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
	s, err := New(ctx, group, cfg, sockets.NewBudget(8, refuse), nil)
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
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		s := host(t, ctx, group)
		before := s.sizes()
		before.Timers += 30 // the module's own, of deadlines; calls had as many
		for i := range 30 {
			name, was := fmt.Sprintf("s-%d", i), fmt.Sprintf("s-%d", i-1)
			s.list(members.List{Members: []members.Member{{ID: name, Address: "p:1", Phase: members.Serving},
				{ID: was, Phase: members.Deleted}}})
			arrived{&invocation.Invocation{ID: name, SentAt: time.Now(), Patience: time.Second,
				Answer: func(invocation.Answer) {}}}.apply(s)
			synctest.Wait()
			for len(s.calls) > 0 {
				(<-s.events).apply(s)
			}
		}
		s.list(members.List{Complete: true})
		if diff := cmp.Diff(before, s.sizes()); diff != "" || s.counts.Sent != 30 {
			t.Errorf("%d sent\n%s", s.counts.Sent, diff)
		}
		cancel()
		group.Wait()
	})
}

// Two open invocations of one id: the second is turned away, untaken, and the id is free again with the first's answer.
func TestAnOpenIDIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		s := host(t, ctx, group)
		var got []invocation.Kind
		for range 3 {
			s.list(members.List{Members: []members.Member{{ID: "s", Address: "p:1", Phase: members.Serving}}})
			for range 2 {
				arrived{&invocation.Invocation{ID: "a", SentAt: time.Now(), Patience: time.Second,
					Answer: func(a invocation.Answer) { got = append(got, a.Kind) }}}.apply(s)
			}
			synctest.Wait()
			for len(s.calls) > 0 {
				(<-s.events).apply(s)
			}
		}
		want := []invocation.Kind{invocation.Conflict, invocation.Refused, invocation.Conflict, invocation.Refused,
			invocation.Conflict, invocation.Refused}
		if diff := cmp.Diff(want, got); diff != "" || s.counts.Conflicts != 3 || s.counts.Calls[ending.Refused] != 3 {
			t.Errorf("%+v\n%s", s.counts, diff)
		}
		cancel()
		group.Wait()
	})
}

// A probe's answer whose report can't be read, or lacks the load, says nothing: a zero made up for it would look like a
// provider with nothing to do.
func TestUnreadableReportsAreLeftOut(t *testing.T) {
	s := &Pool{cfg: &config.Config{}, calls: map[*provider.Call]attempt{}, providers: map[logic.ServerID]*known{}}
	s.cfg.Settings.Report.Names = []string{"active", "avg_ms"}
	s.stepping = true // the module's events are looked at, not handled
	for _, report := range []string{`{"active":3}`, `{"active":null,"avg_ms":20}`, `{"avg_ms":3}`, `{"act`, ``} {
		c := new(provider.Call)
		s.calls[c] = attempt{probe: true, end: &timer{index: -1}}
		s.ended(provider.Result{Call: c, Ending: ending.Served, Report: loadreport.Parse([]byte(report))})
	}
	var got []logic.Status
	for _, e := range s.pending {
		got = append(got, e.Status)
	}
	want := []logic.Status{logic.OK, logic.NotSent, logic.NotSent, logic.NotSent, logic.NotSent}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
