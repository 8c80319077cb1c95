package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// recoveryCase is a fault around the program, with bounds on the recovery from it.
type recoveryCase struct {
	known    func(fakes.List) fakes.List // edits the configured endpoint list; nil = unchanged
	steps    func(*world) fakes.Timeline
	event    time.Duration                // start of the interval whose length is within
	within   time.Duration                // from event until service is back at 95%; 0 = it must stay there
	worst    float64                      // least fraction of requests to be served in any second
	check    func(t *testing.T, w *world) // further checks; nil = none
	duration time.Duration                // duration of the load; 0 = 20 s
}

// world is the fakes around the program, in a synctest bubble.
type world struct {
	*fakes.Fleet
	start     time.Time
	dialsFail atomic.Bool // dials fail with EMFILE, before they leave the program's machine
	net       *fakes.Memory
	attempts  []fakes.Attempt
}

func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	if w.dialsFail.Load() {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	return w.net.Dial(ctx, address)
}

func (w *world) onFirst(n int, act func(*fakes.Server)) func() {
	return func() {
		for _, p := range w.Servers[:n] {
			act(p)
		}
	}
}

// probes returns the number of probes of the server between from and to after the start.
func (w *world) probes(p *fakes.Server, from, to time.Duration) (n int) {
	for _, probe := range p.Probes() {
		if at := probe.At.Sub(w.start); at >= from && at < to {
			n++
		}
	}
	return n
}

func (w *world) polls(from, to time.Duration) (n, complete int) {
	for _, c := range w.Discovery.Requests() {
		if at := c.At.Sub(w.start); at >= from && at < to {
			if n++; c.Complete {
				complete++
			}
		}
	}
	return n, complete
}

func checkRange(t *testing.T, what string, got, minimum, maximum int) {
	t.Helper()
	if got < minimum || got > maximum {
		t.Errorf("%s: %d, want %d to %d", what, got, minimum, maximum)
	}
}

const second = time.Second

var recoveryCases = map[string]recoveryCase{
	"release while responses of discovery are lost": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: w.Discovery.DropResponsesOnOpenConns}, {At: 5 * second, Act: func() {
				_ = w.Release(context.Background(), fakes.Release{Batch: 2, MaxServers: 4, Grace: second, NewAddresses: true})
			}}}
		},
		event: 5 * second, within: 4 * second, worst: 0.5,
		check: func(t *testing.T, w *world) {
			for _, p := range w.Servers {
				checkRange(t, "probes of "+p.ID(), w.probes(p, 5*second, 15*second), 20, 700)
			}
			n, complete := w.polls(5*second, 15*second)
			checkRange(t, "polls", n, 8, 40) // one every 0.3 s: polls of an agent cost nothing
			checkRange(t, "complete lists", complete, 1, 4)
		},
	},
	"release that leaves no server warmed up": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: func() {
				_ = w.Release(context.Background(), fakes.Release{Batch: 4, Grace: second, Between: 2 * second, NewAddresses: true})
			}}}
		},
		// With a fault in the program, only 0.41 of the requests were served in each of five seconds, though servers were idle.
		event: 5 * second, within: 6 * second, worst: 0.8,
	},
	"discovery down for 30 s, then a complete list": {
		duration: 42 * second,
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{
				{At: 3 * second, Act: func() { _ = w.Discovery.SetDown(true) }},
				{At: 4 * second, Act: func() {
					_ = w.Release(context.Background(), fakes.Release{Batch: 2, MaxServers: 4, Grace: second, NewAddresses: true})
				}},
				{At: 33 * second, Act: func() { _ = w.Discovery.SetDown(false) }},
			}
		},
		event: 4 * second, within: 4 * second, worst: 0.5,
		check: func(t *testing.T, w *world) {
			for _, p := range w.Servers[:4] {
				checkRange(t, "probes of the new "+p.ID(), w.probes(p, 36*second, 40*second), 5, 400)
			}
			n, _ := w.polls(33*second, 36*second)
			checkRange(t, "polls once discovery is back", n, 8, 20)
		},
	},
	"responses of discovery come after the poll has timed out": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{
				{At: 3 * second, Act: func() { w.Discovery.RespondAfterClose(true) }},
				{At: 4 * second, Act: func() {
					_ = w.Release(context.Background(), fakes.Release{Batch: 2, MaxServers: 4, Grace: second, NewAddresses: true})
				}},
				{At: 8 * second, Act: func() { w.Discovery.RespondAfterClose(false) }},
			}
		},
		event: 4 * second, within: 4 * second, worst: 0.5,
		check: func(t *testing.T, w *world) {
			for _, p := range w.Servers[:4] {
				checkRange(t, "probes of the new "+p.ID(), w.probes(p, 12*second, 16*second), 5, 400)
			}
		},
	},
	"half of the listed servers are down and stay listed": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: w.onFirst(4, (*fakes.Server).Kill)}}
		},
		event: 5 * second, within: 2 * second, worst: 0.5,
		check: func(t *testing.T, w *world) {
			_, complete := w.polls(5*second, 20*second)
			checkRange(t, "complete lists", complete, 1, 6)
		},
	},
	"no connection leaves the machine of the sidecar": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{
				{At: 5 * second, Act: func() { w.dialsFail.Store(true); w.onFirst(8, (*fakes.Server).ResetOpenConns)() }},
				{At: 8 * second, Act: func() { w.dialsFail.Store(false) }},
			}
		},
		event: 8 * second, within: 2 * second,
		check: func(t *testing.T, w *world) {
			for _, p := range w.Servers {
				checkRange(t, "probes of "+p.ID(), w.probes(p, 10*second, 15*second), 20, 400)
			}
		},
	},
	"a server rejects probes and serves requests": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: w.onFirst(1, func(p *fakes.Server) {
				p.ChangeBehaviour(func(b *fakes.Behaviour) { b.Probes = fakes.ProbesUnavailable })
			})}}
		},
		event: 5 * second, worst: 0.9,
		check: func(t *testing.T, w *world) {
			checkRange(t, "probes", w.probes(w.Servers[0], 6*second, 16*second), 8, 60)
		},
	},
	"a server responds to probes and declines requests": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: w.onFirst(1, func(p *fakes.Server) {
				p.ChangeBehaviour(func(b *fakes.Behaviour) { b.Decline = true })
			})}}
		},
		event: 5 * second, within: 2 * second, worst: 0.8,
		check: func(t *testing.T, w *world) {
			n := 0
			for _, r := range w.Servers[0].Requests() {
				if r.FirstByte.Sub(w.start) > 6*second {
					n++
				}
			}
			checkRange(t, "requests sent to it in 14 s", n, 1, 120)
		},
	},
	"two machines are unreachable and come back": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{
				{At: 5 * second, Act: w.onFirst(2, func(p *fakes.Server) { _ = p.SetSilent(true) })},
				{At: 12 * second, Act: w.onFirst(2, func(p *fakes.Server) { _ = p.SetSilent(false) })},
			}
		},
		event: 5 * second, within: 3 * second, worst: 0.5,
		check: func(t *testing.T, w *world) {
			for _, p := range w.Servers[:2] {
				checkRange(t, "probes while it is unreachable", w.probes(p, 7*second, 12*second), 0, 15)
				checkRange(t, "probes within 2 s of its return", w.probes(p, 12*second, 14*second), 3, 200)
			}
		},
	},
	"start with a list of nonexistent servers": {
		known: func(l fakes.List) fakes.List {
			for i := range l.Endpoints {
				l.Endpoints[i].ID, l.Endpoints[i].Address = fmt.Sprint("old-", i), fmt.Sprintf("127.9.9.%d:9", i+1)
			}
			return l
		},
		event: 0, within: 2 * second,
	},
	"a server is listed as draining": {
		steps: func(w *world) fakes.Timeline {
			return fakes.Timeline{{At: 5 * second, Act: func() {
				m := w.Servers[0].Endpoint()
				m.Phase = fakes.Draining
				w.Discovery.Change(m)
			}}}
		},
		event: 5 * second, worst: 0.9,
		check: func(t *testing.T, w *world) {
			for _, r := range w.Servers[0].Requests() {
				if at := r.FirstByte.Sub(w.start); at > 5750*time.Millisecond {
					t.Errorf("a request was sent %s after the server was listed as draining", at-5*second)
				}
			}
		},
	},
}

func TestRecovery(t *testing.T) {
	log.SetOutput(io.Discard)
	for name, tr := range recoveryCases {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tr.play(t) })
		})
	}
}

// play runs the program through the fault. No request may be lost, get a wrong response or run twice.
func (tr recoveryCase) play(t *testing.T) {
	w := &world{net: fakes.NewMemory()}
	var err error
	if w.Fleet, err = fakes.NewFleet(w.net, 8, fakes.ServerOptions{
		Cores: 4, Queue: 16, Seed: 1,
		Default: fakes.Service{Mean: 20 * time.Millisecond},
	}); err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	front, err := w.net.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	known := fakes.List{Revision: 1, Endpoints: w.Endpoints()}
	if tr.known != nil {
		known = tr.known(known)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "n1", Listen: front.Addr().String(), Seed: 1,
		Discovery: w.Discovery.Address(), Known: known,
	})
	if err != nil || os.WriteFile(file, raw, 0o600) != nil {
		t.Fatal(err)
	}
	signals, ended := launch(t, map[string]string{"GW_CONFIG": file}, front, nil, w.dial)
	if err := fakes.AwaitReady(t.Context(), w.net, front.Addr().String()); err != nil {
		t.Fatal(err)
	}
	w.start = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	if tr.steps != nil {
		go tr.steps(w).Play(ctx, w.start)
	}
	duration := max(tr.duration, 20*second)
	w.attempts = fakes.NewClients(fakes.Load{
		Network: w.net, Address: front.Addr().String(), Seed: 1, Duration: duration,
		Retry:   fakes.Retry{Wait: 50 * time.Millisecond, MaxRetries: 2},
		Streams: []fakes.Stream{{Class: fakes.TileClass(), Rate: 120}, {Class: fakes.OrderClass(), Rate: 24}},
	}).Run(t.Context())
	signals.raise(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	cancel()
	for _, attempt := range w.attempts {
		if attempt.Result == fakes.Lost || attempt.Result == fakes.Wrong {
			t.Errorf("%s %s is %s: %v", attempt.Class.Name, attempt.ID, attempt.Result, attempt.Err)
		}
	}
	if twice := fakes.RequestsRunTwice("order", w.Servers...); len(twice) > 0 {
		t.Errorf("orders run twice: %v", twice)
	}
	if took, ok := fakes.RecoveryTime(w.attempts, w.start.Add(tr.event), 1, 500*time.Millisecond); !ok || took > tr.within {
		t.Errorf("recovered: %t, after %s, want %s", ok, took, tr.within)
	}
	for _, win := range fakes.Tally(w.attempts, w.start, second) {
		if win.From.Sub(w.start) < duration-second && win.ServedFraction() < tr.worst {
			t.Errorf("%s: %s", win.From.Sub(w.start), win)
		}
	}
	if tr.check != nil {
		tr.check(t, w)
	}
}
