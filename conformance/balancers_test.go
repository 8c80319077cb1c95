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

// servers starts servers that end with the test.
func servers(t *testing.T, names ...string) (all []*scriptedServer) {
	t.Helper()
	network := fakes.Loopback()
	for _, name := range names {
		p := newScriptedServer(network, name, new(queue))
		if err := p.up(false); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		all = append(all, p)
	}
	return all
}

// usual are options that most tests start from: two classes, a long wait for connections, and the servers by their
// names.
func usual(all ...*scriptedServer) plankrouter.Options {
	o := plankrouter.Options{Name: "n1", Seed: 1, ConnectTimeout: 10 * time.Second, Classes: []plankrouter.Class{
		{Name: "tile", LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second},
		{Name: "order", LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second, Idempotency: plankrouter.NonIdempotent},
	}}
	for _, p := range all {
		o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{ID: p.name, Address: p.address})
	}
	return o
}

// balancer starts one that is closed with the test, if not before.
func balancer(t *testing.T, o plankrouter.Options) *plankrouter.Balancer {
	t.Helper()
	b, err := plankrouter.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close(ended()) }) // its error is that of the context that has ended
	return b
}

// ended returns a context that has ended.
func ended() context.Context {
	ctx, end := context.WithCancel(context.Background())
	end()
	return ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// sees waits until the server has seen n requests whole.
func (s *scriptedServer) sees(t *testing.T, n int) {
	t.Helper()
	must(t, await(t.Context(), func() bool {
		return len(slices.DeleteFunc(s.seen(), func(a seenAttempt) bool { return a.action == "part" })) >= n
	}))
}

// later runs f in a goroutine and returns a function that waits for what it returns.
func later[T any](t *testing.T, f func() T) func() T {
	done := make(chan T, 1)
	go func() { done <- f() }()
	return func() (v T) {
		t.Helper()
		select {
		case v = <-done:
		case <-time.After(waitLimit):
			t.Fatal("it did not return")
		}
		return v
	}
}

// logLines are the lines that a logger was given.
type logLines struct {
	slog.Handler
	mu     sync.Mutex
	all    []string
	onLine func() // called with each
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

// Two balancers of one name, with endpoints and requests of the same ids, settings and fleets of their own, started and
// closed in every order: each counts and answers what is its own.
func TestTwoBalancers(t *testing.T) {
	for _, order := range []string{
		"+a +b -a -b", "+a +b -b -a", "+a -a +b -b", "+b +a -a -b", "+b +a -b -a",
		"+b -b +a -a",
	} {
		t.Run(order, func(t *testing.T) {
			all := servers(t, "s-1", "s-1")
			sides := map[string]*balancerWithServer{"a": {server: all[0]}, "b": {server: all[1]}}
			for word := range strings.FieldsSeq(order) {
				h := sides[word[1:]]
				if word[0] == '+' {
					o := usual(h.server)
					if word == "+a" {
						o.MaxAttempts, o.Classes = 1, o.Classes[:1]
					}
					h.balancer = balancer(t, o)
				} else {
					must(t, h.balancer.Close(t.Context()))
					h.closed = true
				}
				for _, h := range sides {
					h.sendOne(t)
				}
				if a, b := sides["a"], sides["b"]; a.open() && b.open() {
					a.hold(t)
					b.hold(t) // the same id is open at both
					a.release(t)
					b.release(t)
				}
			}
			for name, h := range sides {
				s := h.balancer.Stats()
				if s.Accepted != h.sent || s.Served != h.sent || s.Attempts != h.sent || s.Connections != 0 ||
					len(h.server.seen()) != h.sent {
					t.Errorf("%s was asked %d times, its server %d: %+v", name, h.sent, len(h.server.seen()), s)
				}
			}
		})
	}
}

// balancerWithServer is one of two balancers, with its server.
type balancerWithServer struct {
	server   *scriptedServer
	balancer *plankrouter.Balancer
	closed   bool
	sent     int
	answer   func() error
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
			t.Errorf("after its close: %v", err)
		}
	}
}

func (h *balancerWithServer) hold(t *testing.T) {
	h.server.ownDeeds.add(deed{name: "answer", hold: true}, 1)
	h.sent++
	h.answer = later(t, func() error { return h.send("2") })
	h.server.sees(t, h.sent)
}

func (h *balancerWithServer) release(t *testing.T) {
	t.Helper()
	must(t, h.server.release(t.Context(), ""))
	must(t, h.answer())
}

// The picks of one balancer are those of its own seed, whatever another does meanwhile.
func TestRandomOfItsOwn(t *testing.T) {
	picks := func(seed uint64) (picks string) {
		all := servers(t, "1", "2", "3", "4")
		o := usual(all...)
		o.Seed = seed
		b := balancer(t, o)
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
	alone, other := picks(1), picks(2)
	busy := balancer(t, usual(servers(t, "1", "2", "3", "4")...))
	var stop atomic.Bool
	done := later(t, func() error {
		for !stop.Load() {
			if _, err := busy.Do(context.Background(), &plankrouter.Request{}); err != nil {
				return err
			}
		}
		return nil
	})
	beside := picks(1)
	stop.Store(true)
	must(t, done())
	if alone != beside || alone == other {
		t.Errorf("seed 1 alone: %s, beside another: %s; seed 2: %s", alone, beside, other)
	}
}

// What one logs, and the limit on its connections, is not the other's.
func TestLogsAndLimitsOfTheirOwn(t *testing.T) {
	all := servers(t, "s-1", "s-1")
	quiet, loud := new(logLines), new(logLines)
	a, b := usual(all[0]), usual(all[1])
	a.Logger, b.Logger = slog.New(quiet), slog.New(loud)
	b.ConnectionLimit = plankrouter.NewConnectionLimit(1, nil)
	one, two := balancerWithServer{balancer: balancer(t, a), server: all[0]}, balancerWithServer{balancer: balancer(t, b), server: all[1]}
	two.hold(t)
	var refused *plankrouter.RejectedError
	if err := two.send("other"); !errors.As(err, &refused) {
		t.Errorf("beyond its limit of one connection: %v", err)
	}
	must(t, await(t.Context(), func() bool { return loud.count() > 0 })) // of the refusal
	for range 20 {
		one.sendOne(t)
	}
	two.release(t)
	if quiet.count() > 0 {
		t.Errorf("it logged what is not its own: %q", quiet.all)
	}
}

// Close waits for what is out, however often and from however many goroutines it is called.
func TestCloseTwice(t *testing.T) {
	h := balancerWithServer{server: servers(t, "s-1")[0]}
	h.balancer = balancer(t, usual(h.server))
	h.hold(t)
	var closes []func() error
	for range 8 {
		closes = append(closes, later(t, func() error { return h.balancer.Close(context.Background()) }))
	}
	closed := func() bool { return errors.Is(h.send("2"), plankrouter.ErrClosed) } // before, it is a duplicate
	must(t, await(t.Context(), closed))
	h.release(t)
	for _, wait := range closes {
		must(t, wait())
	}
	must(t, h.balancer.Close(context.Background()))
	_ = h.balancer.Close(ended()) // which may say that its context has ended, but returns
}

// With a context that has ended Close waits for nothing: what is out has its outcome at once, and its connection is
// gone.
func TestCloseAtOnce(t *testing.T) {
	h := balancerWithServer{server: servers(t, "s-1")[0]}
	h.balancer = balancer(t, usual(h.server))
	h.hold(t)
	waiting := later(t, func() error { return h.balancer.Close(context.Background()) }) // one that waits is no hindrance
	if err := h.balancer.Close(ended()); !errors.Is(err, context.Canceled) {
		t.Errorf("Close: %v", err)
	}
	var failed *plankrouter.FailedError
	if err := h.answer(); !errors.As(err, &failed) || !failed.MayHaveRun {
		t.Errorf("the call that was out: %v", err)
	}
	must(t, waiting())
	must(t, await(t.Context(), func() bool { return h.server.seen()[0].clientLeft }))
	if n := h.balancer.Stats().Connections; n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

// dials returns the options with a dial function of the test's own.
func dials(o plankrouter.Options, dial func(context.Context, string) (net.Conn, error)) plankrouter.Options {
	o.ConnectionLimit = plankrouter.NewConnectionLimit(64, dial)
	return o
}

// Close may be called from within the dial function, with a context that ends or without.
func TestCloseFromDial(t *testing.T) {
	for name, ctx := range map[string]context.Context{"ended": ended(), "background": context.Background()} {
		t.Run(name, func(t *testing.T) {
			var b atomic.Pointer[plankrouter.Balancer]
			closed := make(chan error, 10)
			o := dials(usual(servers(t, "s-1")...), func(context.Context, string) (net.Conn, error) {
				closed <- b.Load().Close(ctx)
				return nil, errors.New("it is closed")
			})
			o.ConnectTimeout = 200 * time.Millisecond // after which nobody waits for the dial function: the close can end
			b.Store(balancer(t, o))
			answer := later(t, func() error {
				_, err := b.Load().Do(context.Background(), &plankrouter.Request{Class: "order"})
				return err
			})
			if err := answer(); err == nil || errors.Is(err, plankrouter.ErrClosed) {
				t.Errorf("the call that dialled: %v", err)
			}
			if err := later(t, func() error { return <-closed })(); err != nil && ctx.Err() == nil {
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
	o := usual()
	o.Logger = slog.New(log)
	b.Store(balancer(t, o))
	_, err := b.Load().Do(t.Context(), &plankrouter.Request{})
	var rejected *plankrouter.RejectedError // which is logged
	if !errors.As(err, &rejected) {
		t.Errorf("without a server: %v", err)
	}
	must(t, later(t, func() error { return <-closed })())
	if _, err := b.Load().Do(t.Context(), &plankrouter.Request{}); !errors.Is(err, plankrouter.ErrClosed) {
		t.Errorf("after the close: %v", err)
	}
}

// A dial function that panics, or ends its goroutine, fails its attempt alone. One that does not heed its context is
// not waited for, and what it brings too late is closed.
func TestDialPanics(t *testing.T) {
	all := servers(t, "s-1", "s-2")
	release := make(chan struct{})
	var how atomic.Pointer[string]
	set := func(s string) { how.Store(&s) }
	set("well")
	late := make(chan net.Conn, 1)
	o := dials(usual(all[:1]...), func(_ context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil || *how.Load() == "well" {
			return c, err
		}
		if *how.Load() == "late" {
			<-release
			late <- c
			return c, nil
		}
		c.Close()
		if *how.Load() == "exits" {
			runtime.Goexit()
		}
		panic("in the dial function")
	})
	o.ConnectTimeout = 2 * time.Second // only what is late has to pass it
	h := balancerWithServer{server: all[0], balancer: balancer(t, o)}
	h.hold(t) // a call of its own connection, which must not notice
	var refused *plankrouter.RejectedError
	for _, s := range []string{"panics", "exits", "late"} {
		set(s)
		if err := h.send(s); !errors.As(err, &refused) {
			t.Errorf("a dial function that %s: %v", s, err)
		}
	}
	close(release)
	closed := later(t, func() error { // it would wait for ever if it were open
		_, err := (<-late).Read(make([]byte, 1))
		return err
	})
	if err := closed(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection that came too late: %v", err)
	}
	set("well")
	h.release(t)
	must(t, h.send("again"))
}

// A logger that panics, or ends its goroutine, loses its line alone.
func TestLoggerPanics(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(){"panics": func() { panic("in the logger") }, "exits": runtime.Goexit} {
		t.Run(name, func(t *testing.T) {
			p := servers(t, "s-1")[0]
			log := &logLines{onLine: end}
			o := usual()
			o.Logger = slog.New(log)
			b := balancer(t, o)
			first := func() bool { // a rejection is logged at once, and the next one some seconds later
				_, _ = b.Do(t.Context(), &plankrouter.Request{})
				return log.count() > 0
			}
			must(t, await(t.Context(), first))
			must(t, await(t.Context(), func() bool { return first() && log.count() > 1 })) // and goes on getting lines
			must(t, b.Update(plankrouter.Endpoint{Address: p.address}))
			if _, err := b.Do(t.Context(), &plankrouter.Request{}); err != nil {
				t.Error(err)
			}
		})
	}
}

// A thousand callers at once, all given up together: each has its one outcome, and there is no attempt more than
// requests.
func TestCancelledTogether(t *testing.T) {
	all := servers(t, "s-1", "s-2", "s-3", "s-4")
	for _, p := range all {
		p.ownDeeds.add(deed{name: "silent"}, 5000)
	}
	o := usual(all...)
	o.Probes, o.ConnectionLimit = true, plankrouter.NewConnectionLimit(2000, nil)
	b := balancer(t, o)
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
		err := later(t, func() error { return <-outcomes })()
		kinds[fmt.Sprintf("%T", err)]++
	}
	if n := kinds["*plankrouter.CancelledError"] + kinds["*plankrouter.RejectedError"]; n != callers {
		t.Errorf("%v", kinds)
	}
	if s := b.Stats(); s.Attempts > callers || s.Cancelled+s.Rejected != callers {
		t.Errorf("%+v", s)
	}
	must(t, await(t.Context(), func() bool { // no connection is left that carried one of them
		for _, p := range all {
			if slices.ContainsFunc(p.seen(), func(s seenAttempt) bool { return !s.clientLeft }) {
				return false
			}
		}
		return true
	}))
}

// All methods are safe for concurrent use, the close included.
func TestEverythingAtOnce(t *testing.T) {
	all := servers(t, "s-1", "s-2", "s-3")
	o := usual(all...)
	o.Probes, o.Logger = true, slog.New(new(logLines))
	b := balancer(t, o)
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
					var refused *plankrouter.RejectedError // as when all are being replaced
					if err != nil && !errors.As(err, &refused) && !errors.Is(err, plankrouter.ErrClosed) {
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
