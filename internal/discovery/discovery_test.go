package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/watchpolicy"
)

// fixture is a watch of a source that lists a and b, in simulated time.
type fixture struct {
	t       *testing.T
	network *fakes.Memory
	source  *fakes.Discovery
	watch   *Watch
	phases  map[string]string // by id, as updated
	logged  []string
}

func (r *fixture) newSource(address string) *fakes.Discovery {
	d, err := fakes.NewDiscovery(r.network, address, fakes.Endpoint{ID: "a", Address: "a:1", Phase: fakes.Serving},
		fakes.Endpoint{ID: "b", Address: "b:1", Phase: fakes.Serving})
	if err != nil {
		r.t.Fatal(err)
	}
	return d
}

// withWatch runs f in a bubble, with a watch that has not begun. Its list is empty, of that revision.
func withWatch(t *testing.T, revision uint64, f func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := &fixture{t: t, network: fakes.NewMemory(), phases: map[string]string{}}
		r.source = r.newSource("d:1")
		defer r.source.Close()
		dial := func(ctx context.Context, address string) (net.Conn, error) { return r.network.Dial(ctx, address) }
		w, err := New(Options{
			Address: "d:1", Watch: watchpolicy.DefaultSettings(), Seed: 1, Initial: endpoints.List{Revision: revision},
			Budget: connlimit.NewBudget(8, dial), OnUpdate: r.onUpdate, Logf: func(format string, args ...any) {
				r.logged = append(r.logged, fmt.Sprintf(format, args...))
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		r.watch = w
		f(r)
	})
}

func (r *fixture) onUpdate(l endpoints.List, _ time.Time) {
	if l.Complete {
		clear(r.phases)
	}
	for _, m := range l.Endpoints {
		r.phases[m.ID] = m.Phase
	}
}

// wait lets time pass, and all that is due by then be done.
func (r *fixture) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// replaceWatch replaces the watch by one of other options.
func (r *fixture) replaceWatch(options Options) {
	w, err := New(options)
	if err != nil {
		r.t.Fatal(err)
	}
	r.watch = w
}

// run starts the watch and returns a function that ends it.
func (r *fixture) run() (end func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan error, 1)
	go func() { done <- r.watch.Run(ctx) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			r.t.Error(err)
		}
	}
}

// Whatever the source does with its answers, it is polled again, and what it answers once the fault is over is used soon: after the longest
// pause between polls, and a poll. Nothing of answers that are wrong is used.
func TestUpdatesAfterFaults(t *testing.T) {
	const within = 2*time.Second + 3*time.Second
	for name, c := range map[string]struct {
		begin  func(*fakes.Discovery) error
		end    func(*fakes.Discovery) error // nil = it is over at once
		logged string                       // in the log, if anything
	}{
		"lost answers": {
			func(d *fakes.Discovery) error { d.LoseAnswers(true); return nil },
			func(d *fakes.Discovery) error { d.LoseAnswers(false); return nil }, "timeout",
		},
		"mute": {
			func(d *fakes.Discovery) error { d.HoldAnswers(true); return nil },
			func(d *fakes.Discovery) error { d.HoldAnswers(false); return nil }, "timeout",
		},
		"late beyond the time-out": {
			func(d *fakes.Discovery) error { d.SetDelay(4 * time.Second); return nil },
			func(d *fakes.Discovery) error { d.SetDelay(0); return nil }, "timeout",
		},
		"a part for the complete list": {func(d *fakes.Discovery) error { // which is asked for after a failure
			d.PartialForComplete(true)
			return errors.Join(d.SetDown(true), d.SetDown(false))
		}, func(d *fakes.Discovery) error { d.PartialForComplete(false); return nil }, "got a part"},
		"malformed": {
			func(d *fakes.Discovery) error {
				d.ReplaceAnswers([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnews"))
				return nil
			},
			func(d *fakes.Discovery) error { d.ReplaceAnswers(nil); return nil }, "state=failed",
		},
		"cut off": {
			func(d *fakes.Discovery) error { return d.SetSilent(true) },
			func(d *fakes.Discovery) error { return d.SetSilent(false) }, "timeout",
		},
		"complete":  {func(d *fakes.Discovery) error { d.CompleteForWatch(true); return nil }, nil, ""},
		"anew at 1": {func(d *fakes.Discovery) error { return d.RestartAt(1) }, nil, "state=failed"},
		"anew at 9": {func(d *fakes.Discovery) error { return d.RestartAt(9) }, nil, "state=failed"},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				defer r.run()()
				<-r.watch.FirstUpdate()
				for range 3 { // so that it counts from a revision above 1
					r.source.Change(fakes.Endpoint{ID: "b", Address: "b:1", Phase: fakes.Serving})
					time.Sleep(time.Second)
				}
				if err := c.begin(r.source); err != nil {
					t.Fatal(err)
				}
				r.source.Change(fakes.Endpoint{ID: "a", Address: "a:1", Phase: fakes.Draining})
				if c.end != nil {
					r.wait(10 * time.Second)
					if got := r.phases["a"]; got != fakes.Serving {
						t.Errorf("during the fault a is %q", got)
					}
					if err := c.end(r.source); err != nil {
						t.Fatal(err)
					}
				}
				r.wait(within)
				if r.phases["a"] != fakes.Draining || r.phases["b"] != fakes.Serving {
					t.Errorf("afterwards: %v", r.phases)
				}
				if logged := strings.Join(r.logged, "\n"); c.logged == "" && logged != "" || !strings.Contains(logged, c.logged) {
					t.Errorf("it logs %q, want %q", logged, c.logged)
				}
			})
		})
	}
}

// Whenever SetAddress is called, also before the watch has begun, it asks the new source for the complete list first.
func TestSetAddress(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the first poll %t", before), func(t *testing.T) {
			withWatch(t, 50, func(r *fixture) {
				other := r.newSource("e:1")
				defer other.Close()
				if before {
					r.watch.SetAddress("e:1")
				}
				defer r.run()()
				if !before {
					<-r.watch.FirstUpdate()
					r.watch.SetAddress("e:1")
				}
				r.wait(500 * time.Millisecond)
				calls := other.Calls()
				if len(calls) == 0 || !calls[0].Complete || slices.ContainsFunc(calls[1:], func(c fakes.DiscoveryCall) bool { return c.Complete }) {
					t.Errorf("the new source is asked %+v", calls)
				}
				if r.watch.Address() != "e:1" || len(r.phases) != 2 {
					t.Errorf("source %s, list %v", r.watch.Address(), r.phases)
				}
			})
		})
	}
}

// Changes that an agent has take effect at once while nobody polls: the validity is reported before each pause begins.
func TestValidityIsReportedBeforePauses(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		options := r.watch.options
		options.Watch = watchpolicy.PushedSettings(750 * time.Millisecond)
		r.replaceWatch(options)
		var validFor []time.Duration // as each poll or pause begins
		r.watch.options.OnValidity = func(t staleness.Validity) { validFor = append(validFor, time.Until(t.ListUntil)) }
		end := r.run()
		r.wait(1500 * time.Millisecond)
		before := len(validFor)
		r.source.Close() // each poll fails at once
		r.wait(100 * time.Millisecond)
		if len(validFor) <= before || validFor[before-1] < time.Second || validFor[before] != 0 {
			t.Errorf("before %d: %s", before, validFor)
		}
		end()
	})
}

// What each poll asks for, by how those before ended, where 32 instances share one source: one that is rejected, or times out in the queue
// where polls are rejected, asks for changes again; after any other silence, and after the end of the connection, for the complete list.
func TestPollsWhileRejected(t *testing.T) {
	const rejected, changes, complete = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "?index=7&wait=", ""
	noChange := okResponse(listJSON(7, false))
	for name, c := range map[string]struct{ answers, want []string }{ // "" = nothing, until the poll is given up
		"rejected":                           {[]string{rejected, rejected, rejected}, []string{changes, changes, changes, changes}},
		"in the queue":                       {[]string{rejected, "", "", rejected}, []string{changes, changes, changes, changes, changes}},
		"answered, then silent":              {[]string{rejected, noChange, "", rejected, ""}, []string{changes, changes, changes, complete, complete, complete}},
		"silent from the start":              {[]string{"", rejected}, []string{changes, complete, complete}},
		"in the queue, then it ends":         {[]string{rejected, "end", rejected}, []string{changes, changes, complete, complete}},
		"in the queue, an answer that stops": {[]string{rejected, noChange[:20]}, []string{changes, changes, complete}},
		"in the queue, another answer":       {[]string{rejected, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, []string{changes, changes, complete}},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				d, options := newScriptedSource(t, r.network), r.watch.options
				options.Address = d.Addr().String()
				options.Watch.Instances = 32
				options.Initial = endpoints.List{Revision: 7, Endpoints: []endpoints.Endpoint{{ID: "a", Phase: endpoints.Serving}}}
				r.replaceWatch(options)
				defer r.run()()
				var conn *scriptedConn
				for i, want := range c.want {
					if conn == nil {
						conn = d.accept()
					}
					if got := conn.nextTarget(); (want == complete) != (got == complete) || !strings.HasPrefix(got, want) {
						t.Errorf("poll %d asks for %q, want %q", i, got, want)
					}
					switch {
					case i == len(c.answers):
					case c.answers[i] == "end":
						conn.Close()
						conn = nil
					case c.answers[i] == noChange:
						conn.write(noChange)
					default:
						conn.write(c.answers[i])
						if got := conn.nextTarget(); got != "ended" {
							t.Errorf("after poll %d: %q", i, got)
						}
						conn = nil
					}
				}
			})
		})
	}
}
