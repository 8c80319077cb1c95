package conformance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// startServers starts servers that are closed at the end of the test.
func startServers(t *testing.T, names ...string) (all []*scriptedServer) {
	t.Helper()
	network := fakes.Loopback()
	for _, name := range names {
		p := newScriptedServer(network, name, new(actionQueue))
		if err := p.up(false); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		all = append(all, p)
	}
	return all
}

// baseOptions returns the options that most tests start from: two classes, a long connect timeout, and the servers, whose ids
// are their names.
func baseOptions(all ...*scriptedServer) plankrouter.Options {
	o := plankrouter.Options{Name: "n1", Seed: 1, ConnectTimeout: 10 * time.Second, Classes: []plankrouter.Class{
		{Name: "tile", LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second},
		{Name: "order", LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second, Idempotency: plankrouter.NonIdempotent},
	}}
	for _, p := range all {
		o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{ID: p.name, Address: p.address})
	}
	return o
}

// newBalancer returns a balancer that is closed at the end of the test, if not before.
func newBalancer(t *testing.T, o plankrouter.Options) *plankrouter.Balancer {
	t.Helper()
	b, err := plankrouter.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close(cancelledContext()) }) // its error is the context's
	return b
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitForRequests waits until the server has received n complete requests.
func (s *scriptedServer) waitForRequests(t *testing.T, n int) {
	t.Helper()
	must(t, await(t.Context(), func() bool {
		return len(slices.DeleteFunc(s.seen(), func(a seenAttempt) bool { return a.result == "part" })) >= n
	}))
}

// runAsync runs f in a goroutine and returns a function that waits for its result.
func runAsync[T any](t *testing.T, f func() T) func() T {
	done := make(chan T, 1)
	go func() { done <- f() }()
	return func() (v T) {
		t.Helper()
		select {
		case v = <-done:
		case <-time.After(waitLimit):
			t.Fatal("the function did not return")
		}
		return v
	}
}

// logLines is a slog.Handler that records the messages.
type logLines struct {
	slog.Handler
	mu     sync.Mutex
	all    []string
	onLine func() // called for each line; nil = no call
}

func (l *logLines) Enabled(context.Context, slog.Level) bool { return true }
func (l *logLines) WithAttrs([]slog.Attr) slog.Handler       { return l }

func (l *logLines) Handle(_ context.Context, r slog.Record) error {
	l.mu.Lock()
	l.all = append(l.all, r.Message)
	l.mu.Unlock()
	if l.onLine != nil {
		l.onLine()
	}
	return nil
}

func (l *logLines) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// Two balancers in one process with the same name, endpoint ids and request ids, but different options and servers, don't
// affect each other, in whatever order they are started and closed.
func TestTwoBalancers(t *testing.T) {
	for _, order := range []string{
		"+a +b -a -b", "+a +b -b -a", "+a -a +b -b", "+b +a -a -b", "+b +a -b -a",
		"+b -b +a -a",
	} {
		t.Run(order, func(t *testing.T) {
			all := startServers(t, "s-1", "s-1")
			pairs := map[string]*balancerWithServer{"a": {server: all[0]}, "b": {server: all[1]}}
			for op := range strings.FieldsSeq(order) {
				h := pairs[op[1:]]
				if op[0] == '+' {
					o := baseOptions(h.server)
					if op == "+a" {
						o.MaxAttempts, o.Classes = 1, o.Classes[:1]
					}
					h.balancer = newBalancer(t, o)
				} else {
					must(t, h.balancer.Close(t.Context()))
					h.closed = true
				}
				for _, h := range pairs {
					h.sendOne(t)
				}
				if a, b := pairs["a"], pairs["b"]; a.open() && b.open() {
					a.hold(t)
					b.hold(t) // a request with the same id is open at both
					a.release(t)
					b.release(t)
				}
			}
			for name, h := range pairs {
				s := h.balancer.Stats()
				if s.Accepted != h.sent || s.Served != h.sent || s.Attempts != h.sent || s.Connections != 0 ||
					len(h.server.seen()) != h.sent {
					t.Errorf("balancer %s: %d requests, %d at its server: %+v", name, h.sent, len(h.server.seen()), s)
				}
			}
		})
	}
}

// balancerWithServer is a balancer with one server.
type balancerWithServer struct {
	server   *scriptedServer
	balancer *plankrouter.Balancer
	closed   bool
	sent     int          // number of requests sent
	result   func() error // waits for the result of the request that hold sent
}

func (h *balancerWithServer) open() bool { return h.balancer != nil && !h.closed }

func (h *balancerWithServer) send(id string) error {
	_, err := h.balancer.Do(context.Background(), &plankrouter.Request{Class: "tile", ID: id})
	return err
}

func (h *balancerWithServer) sendOne(t *testing.T) {
	t.Helper()
	switch {
	case h.open():
		h.sent++
		must(t, h.send("1"))
	case h.closed:
		if err := h.send("1"); !errors.Is(err, plankrouter.ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
	}
}

// hold sends a request that the server holds until release.
func (h *balancerWithServer) hold(t *testing.T) {
	h.server.ownActions.add(action{name: "answer", hold: true}, 1)
	h.sent++
	h.result = runAsync(t, func() error { return h.send("2") })
	h.server.waitForRequests(t, h.sent)
}

func (h *balancerWithServer) release(t *testing.T) {
	t.Helper()
	must(t, h.server.release(t.Context(), ""))
	must(t, h.result())
}

// The random choices of a balancer depend only on its own seed, not on what another balancer does at the same time.
func TestIndependentRandomChoices(t *testing.T) {
	picks := func(seed uint64) (picks string) {
		all := startServers(t, "1", "2", "3", "4")
		o := baseOptions(all...)
		o.Seed = seed
		b := newBalancer(t, o)
		for range 40 {
			before := make([]int, len(all))
			for i, p := range all {
				before[i] = len(p.seen())
			}
			if _, err := b.Do(t.Context(), &plankrouter.Request{}); err != nil {
				t.Fatal(err)
			}
			for i, p := range all {
				if len(p.seen()) > before[i] {
					picks += p.name
				}
			}
		}
		return picks
	}
	picksAlone, otherPicks := picks(1), picks(2)
	busy := newBalancer(t, baseOptions(startServers(t, "1", "2", "3", "4")...))
	var stop atomic.Bool
	done := runAsync(t, func() error {
		for !stop.Load() {
			if _, err := busy.Do(context.Background(), &plankrouter.Request{}); err != nil {
				return err
			}
		}
		return nil
	})
	picksBeside := picks(1)
	stop.Store(true)
	must(t, done())
	if picksAlone != picksBeside || picksAlone == otherPicks {
		t.Errorf("seed 1 alone: %s, beside another balancer: %s; seed 2: %s", picksAlone, picksBeside, otherPicks)
	}
}

// Two balancers have separate loggers and connection limits.
func TestSeparateLogsAndLimits(t *testing.T) {
	all := startServers(t, "s-1", "s-1")
	quiet, loud := new(logLines), new(logLines)
	a, b := baseOptions(all[0]), baseOptions(all[1])
	a.Logger, b.Logger = slog.New(quiet), slog.New(loud)
	b.ConnectionLimit = plankrouter.NewConnectionLimit(1, nil)
	first, second := balancerWithServer{balancer: newBalancer(t, a), server: all[0]}, balancerWithServer{balancer: newBalancer(t, b), server: all[1]}
	second.hold(t)
	var rejected *plankrouter.RejectedError
	if err := second.send("other"); !errors.As(err, &rejected) {
		t.Errorf("beyond the limit of one connection: %v", err)
	}
	must(t, await(t.Context(), func() bool { return loud.count() > 0 })) // the rejection is logged
	for range 20 {
		first.sendOne(t)
	}
	second.release(t)
	if quiet.count() > 0 {
		t.Errorf("it logged lines of the other balancer: %q", quiet.all)
	}
}

// Close may be called repeatedly and concurrently, and every call waits for the requests in flight.
func TestCloseRepeatedly(t *testing.T) {
	h := balancerWithServer{server: startServers(t, "s-1")[0]}
	h.balancer = newBalancer(t, baseOptions(h.server))
	h.hold(t)
	var closes []func() error
	for range 8 {
		closes = append(closes, runAsync(t, func() error { return h.balancer.Close(context.Background()) }))
	}
	closed := func() bool { return errors.Is(h.send("2"), plankrouter.ErrClosed) } // until then, the id is a duplicate
	must(t, await(t.Context(), closed))
	h.release(t)
	for _, wait := range closes {
		must(t, wait())
	}
	must(t, h.balancer.Close(context.Background()))
	_ = h.balancer.Close(cancelledContext()) // may return the context's error, but must return
}

// Close with a cancelled context ends the requests in flight at once and closes their connections.
func TestCloseWithCancelledContext(t *testing.T) {
	h := balancerWithServer{server: startServers(t, "s-1")[0]}
	h.balancer = newBalancer(t, baseOptions(h.server))
	h.hold(t)
	waiting := runAsync(t, func() error { return h.balancer.Close(context.Background()) }) // must not delay the other Close
	if err := h.balancer.Close(cancelledContext()); !errors.Is(err, context.Canceled) {
		t.Errorf("Close: %v", err)
	}
	var failed *plankrouter.FailedError
	if err := h.result(); !errors.As(err, &failed) || !failed.MayHaveRun {
		t.Errorf("the request in flight: %v", err)
	}
	must(t, waiting())
	must(t, await(t.Context(), func() bool { return h.server.seen()[0].clientLeft }))
	if n := h.balancer.Stats().Connections; n != 0 {
		t.Errorf("%d connections are still open", n)
	}
}

// withDial returns the options with a dial function.
func withDial(o plankrouter.Options, dial func(context.Context, string) (net.Conn, error)) plankrouter.Options {
	o.ConnectionLimit = plankrouter.NewConnectionLimit(64, dial)
	return o
}

// Close may be called from within the dial function, with a cancelled context or with one that never ends.
func TestCloseFromDial(t *testing.T) {
	for name, ctx := range map[string]context.Context{"cancelled": cancelledContext(), "background": context.Background()} {
		t.Run(name, func(t *testing.T) {
			var b atomic.Pointer[plankrouter.Balancer]
			closed := make(chan error, 10)
			o := withDial(baseOptions(startServers(t, "s-1")...), func(context.Context, string) (net.Conn, error) {
				closed <- b.Load().Close(ctx)
				return nil, errors.New("the balancer is closed")
			})
			o.ConnectTimeout = 200 * time.Millisecond // after it, the balancer no longer waits for dial, and Close can return
			b.Store(newBalancer(t, o))
			result := runAsync(t, func() error {
				_, err := b.Load().Do(context.Background(), &plankrouter.Request{Class: "order"})
				return err
			})
			if err := result(); err == nil || errors.Is(err, plankrouter.ErrClosed) {
				t.Errorf("the request that dialled: %v", err)
			}
			if err := runAsync(t, func() error { return <-closed })(); err != nil && ctx.Err() == nil {
				t.Errorf("Close: %v", err)
			}
		})
	}
}

// Close may be called from within the logger.
func TestCloseFromLogger(t *testing.T) {
	var b atomic.Pointer[plankrouter.Balancer]
	closed := make(chan error, 100)
	log := new(logLines)
	log.onLine = func() { closed <- b.Load().Close(context.Background()) }
	o := baseOptions()
	o.Logger = slog.New(log)
	b.Store(newBalancer(t, o))
	_, err := b.Load().Do(t.Context(), &plankrouter.Request{})
	var rejected *plankrouter.RejectedError // the rejection is logged, so onLine calls Close
	if !errors.As(err, &rejected) {
		t.Errorf("without a server: %v", err)
	}
	must(t, runAsync(t, func() error { return <-closed })())
	if _, err := b.Load().Do(t.Context(), &plankrouter.Request{}); !errors.Is(err, plankrouter.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
}

// A dial function that panics or calls runtime.Goexit fails only its own attempt. The balancer does not wait for one that
// ignores its context, and closes a connection that it returns too late.
func TestDialPanics(t *testing.T) {
	all := startServers(t, "s-1", "s-2")
	release := make(chan struct{})
	var behavior atomic.Pointer[string]
	setBehavior := func(s string) { behavior.Store(&s) }
	setBehavior("normal")
	late := make(chan net.Conn, 1)
	o := withDial(baseOptions(all[:1]...), func(_ context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil || *behavior.Load() == "normal" {
			return c, err
		}
		if *behavior.Load() == "late" {
			<-release
			late <- c
			return c, nil
		}
		c.Close()
		if *behavior.Load() == "exits" {
			runtime.Goexit()
		}
		panic("in the dial function")
	})
	o.ConnectTimeout = 2 * time.Second // only the late connection exceeds it
	h := balancerWithServer{server: all[0], balancer: newBalancer(t, o)}
	h.hold(t) // a request on a connection of its own, which must not be affected
	var rejected *plankrouter.RejectedError
	for _, s := range []string{"panics", "exits", "late"} {
		setBehavior(s)
		if err := h.send(s); !errors.As(err, &rejected) {
			t.Errorf("dial function, %s: %v", s, err)
		}
	}
	close(release)
	closed := runAsync(t, func() error { // blocks if the connection is open
		_, err := (<-late).Read(make([]byte, 1))
		return err
	})
	if err := closed(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the late connection: %v", err)
	}
	setBehavior("normal")
	h.release(t)
	must(t, h.send("again"))
}

// If the logger panics or calls runtime.Goexit, only that line is lost.
func TestLoggerPanics(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(){"panics": func() { panic("in the logger") }, "exits": runtime.Goexit} {
		t.Run(name, func(t *testing.T) {
			p := startServers(t, "s-1")[0]
			log := &logLines{onLine: end}
			o := baseOptions()
			o.Logger = slog.New(log)
			b := newBalancer(t, o)
			rejectAndCheckLogged := func() bool { // the first rejection is logged at once, the next one some seconds later
				_, _ = b.Do(t.Context(), &plankrouter.Request{})
				return log.count() > 0
			}
			must(t, await(t.Context(), rejectAndCheckLogged))
			must(t, await(t.Context(), func() bool { return rejectAndCheckLogged() && log.count() > 1 })) // the logger still gets lines
			must(t, b.Update(plankrouter.Endpoint{Address: p.address}))
			if _, err := b.Do(t.Context(), &plankrouter.Request{}); err != nil {
				t.Error(err)
			}
		})
	}
}

// 1,000 concurrent requests are cancelled at the same time: each has exactly one outcome, and there are no more attempts than
// requests.
func TestCancelledTogether(t *testing.T) {
	all := startServers(t, "s-1", "s-2", "s-3", "s-4")
	for _, p := range all {
		p.ownActions.add(action{name: "silent"}, 5000)
	}
	o := baseOptions(all...)
	o.Probes, o.ConnectionLimit = true, plankrouter.NewConnectionLimit(2000, nil)
	b := newBalancer(t, o)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const callers = 1000
	outcomes := make(chan error, callers)
	for i := range callers {
		go func() {
			_, err := b.Do(ctx, &plankrouter.Request{Class: []string{"tile", "order"}[i%2], Method: "POST"})
			outcomes <- err
		}()
	}
	must(t, await(t.Context(), func() bool { return b.Stats().Attempts > 20 }))
	cancel()
	kinds := map[string]int{}
	for range callers {
		err := runAsync(t, func() error { return <-outcomes })()
		kinds[fmt.Sprintf("%T", err)]++
	}
	if n := kinds["*plankrouter.CancelledError"] + kinds["*plankrouter.RejectedError"]; n != callers {
		t.Errorf("%v", kinds)
	}
	if s := b.Stats(); s.Attempts > callers || s.Cancelled+s.Rejected != callers {
		t.Errorf("%+v", s)
	}
	must(t, await(t.Context(), func() bool { // until all connections of these requests are closed
		for _, p := range all {
			if slices.ContainsFunc(p.seen(), func(s seenAttempt) bool { return !s.clientLeft }) {
				return false
			}
		}
		return true
	}))
}

// All methods are safe for concurrent use, Close included.
func TestConcurrentUse(t *testing.T) {
	all := startServers(t, "s-1", "s-2", "s-3")
	o := baseOptions(all...)
	o.Probes, o.Logger = true, slog.New(new(logLines))
	b := newBalancer(t, o)
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			for n := range 100 {
				switch i % 6 {
				case 0:
					_ = b.Update(plankrouter.Endpoint{ID: "s-1", Address: all[0].address, Phase: plankrouter.Phase(n % 3)})
				case 1:
					_ = b.Replace(o.Endpoints...)
				case 2:
					b.Stats()
					b.Ready()
				default:
					_, err := b.Do(t.Context(), &plankrouter.Request{Class: "order", Method: "POST"})
					var rejected *plankrouter.RejectedError // may happen while the endpoints are replaced
					if err != nil && !errors.As(err, &rejected) && !errors.Is(err, plankrouter.ErrClosed) {
						t.Error(err)
					}
				}
				if i == 11 && n == 90 {
					must(t, b.Close(t.Context()))
				}
			}
		})
	}
	wait.Wait()
	if s := b.Stats(); s.Accepted != s.Served+s.Rejected || s.Connections != 0 {
		t.Errorf("%+v", s)
	}
}
