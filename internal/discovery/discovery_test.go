package discovery

import (
	"context"
	"fmt"
	"net"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/testbench/fakes"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fixture is a watch of a directory that knows a and b, in simulated time.
type fixture struct {
	t       *testing.T
	network *fakes.Memory
	source  *fakes.Directory
	watch   *Watch
	phases  map[string]string // as told
	logged  []string
}

func (r *fixture) newSource(address string) *fakes.Directory {
	d, err := fakes.NewDirectory(r.network, address, fakes.Member{ID: "a", Address: "a:1", Phase: fakes.Serving},
		fakes.Member{ID: "b", Address: "b:1", Phase: fakes.Serving})
	if err != nil {
		r.t.Fatal(err)
	}
	return d
}

// withWatch runs f in a bubble, with a watch that has not begun. It knows the list, as of a revision.
func withWatch(t *testing.T, revision uint64, f func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := &fixture{t: t, network: fakes.NewMemory(), phases: map[string]string{}}
		r.source = r.newSource("d:1")
		defer r.source.Close()
		dial := func(ctx context.Context, address string) (net.Conn, error) { return r.network.Dial(ctx, address) }
		w, err := New(Options{
			Address: "d:1", Watch: staleness.DefaultSettings(), Seed: 1, Initial: endpoints.List{Revision: revision},
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

// Whatever the directory does with its answers, it is asked again, and what it says once it is well is known soon: after
// the longest pause between tries, and a call. Nothing is taken from answers that are wrong.
func TestUpdatesAfterFaults(t *testing.T) {
	const within = 2*time.Second + 3*time.Second
	for name, c := range map[string]struct {
		on  func(*fakes.Directory) error
		off func(*fakes.Directory) error // nil = it is over at once
		say string                       // in the log, if anything
	}{
		"lost answers": {
			func(d *fakes.Directory) error { d.LoseAnswers(true); return nil },
			func(d *fakes.Directory) error { d.LoseAnswers(false); return nil }, "timeout",
		},
		"mute": {
			func(d *fakes.Directory) error { d.Mute(true); return nil },
			func(d *fakes.Directory) error { d.Mute(false); return nil }, "timeout",
		},
		"late beyond patience": {
			func(d *fakes.Directory) error { d.Delay(4 * time.Second); return nil },
			func(d *fakes.Directory) error { d.Delay(0); return nil }, "timeout",
		},
		"a part for the whole": {func(d *fakes.Directory) error { // after a failure the whole list is asked for
			d.PartForWhole(true)
			d.Down(true)
			return d.Down(false)
		}, func(d *fakes.Directory) error { d.PartForWhole(false); return nil }, "got a part"},
		"spoilt": {
			func(d *fakes.Directory) error {
				d.Spoil([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnews"))
				return nil
			},
			func(d *fakes.Directory) error { d.Spoil(nil); return nil }, "state=failed",
		},
		"cut off": {
			func(d *fakes.Directory) error { return d.Vanish(true) },
			func(d *fakes.Directory) error { return d.Vanish(false) }, "timeout",
		},
		"whole":     {func(d *fakes.Directory) error { d.WholeForWatch(true); return nil }, nil, ""},
		"anew at 1": {func(d *fakes.Directory) error { return d.RestartAt(1) }, nil, "state=failed"},
		"anew at 9": {func(d *fakes.Directory) error { return d.RestartAt(9) }, nil, "state=failed"},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				defer r.run()()
				<-r.watch.FirstUpdate()
				for range 3 { // so that it counts from a revision above 1
					r.source.Change(fakes.Member{ID: "b", Address: "b:1", Phase: fakes.Serving})
					time.Sleep(time.Second)
				}
				if err := c.on(r.source); err != nil {
					t.Fatal(err)
				}
				r.source.Change(fakes.Member{ID: "a", Address: "a:1", Phase: fakes.Draining})
				if c.off != nil {
					r.wait(10 * time.Second)
					if got := r.phases["a"]; got != fakes.Serving {
						t.Errorf("in the trouble a is %q", got)
					}
					if err := c.off(r.source); err != nil {
						t.Fatal(err)
					}
				}
				r.wait(within)
				if r.phases["a"] != fakes.Draining || r.phases["b"] != fakes.Serving {
					t.Errorf("afterwards: %v", r.phases)
				}
				if said := strings.Join(r.logged, "\n"); c.say == "" && said != "" || !strings.Contains(said, c.say) {
					t.Errorf("it logs %q, want %q", said, c.say)
				}
			})
		})
	}
}

// Wherever a watch is moved, also before it has begun, it asks for the whole list first, and tells its source.
func TestSetAddress(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the first call %t", before), func(t *testing.T) {
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
				if len(calls) == 0 || !calls[0].Whole || slices.ContainsFunc(calls[1:], func(c fakes.DirectoryCall) bool { return c.Whole }) {
					t.Errorf("the new directory is asked %+v", calls)
				}
				if r.watch.Address() != "e:1" || len(r.phases) != 2 {
					t.Errorf("source %s, told %v", r.watch.Address(), r.phases)
				}
			})
		})
	}
}

// What an agent has while nobody asks counts at once: each pause is told of before it begins.
func TestValidityIsReportedBeforePauses(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		set := r.watch.options
		set.Watch = staleness.PushedSettings(750 * time.Millisecond)
		var err error
		if r.watch, err = New(set); err != nil {
			t.Fatal(err)
		}
		var left []time.Duration // for which the list is sure, as each call or pause begins
		r.watch.options.OnValidity = func(t staleness.Validity) { left = append(left, time.Until(t.ListUntil)) }
		end := r.run()
		r.wait(1500 * time.Millisecond)
		before := len(left)
		r.source.Close() // each call fails at once
		r.wait(100 * time.Millisecond)
		if len(left) <= before || left[before-1] < time.Second || left[before] != 0 {
			t.Errorf("before %d: %s", before, left)
		}
		end()
	})
}

// What each call asks for, by how those before ended, where 32 ask one directory: who is turned away, or given up in the line where
// calls are turned away, asks for changes again; after any other silence, and after the end of the connection, for the whole list.
func TestPollsWhileRejected(t *testing.T) {
	const full, part, whole = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "?index=7&wait=", ""
	news := okResponse(listJSON(7, false))
	for name, c := range map[string]struct{ says, want []string }{ // "" = nothing, until the call is given up
		"turned away":                     {[]string{full, full, full}, []string{part, part, part, part}},
		"in line":                         {[]string{full, "", "", full}, []string{part, part, part, part, part}},
		"heard, then silent":              {[]string{full, news, "", full, ""}, []string{part, part, part, whole, whole, whole}},
		"silent from the start":           {[]string{"", full}, []string{part, whole, whole}},
		"in line, then it ends":           {[]string{full, "end", full}, []string{part, part, whole, whole}},
		"in line, an answer that stops":   {[]string{full, news[:20]}, []string{part, part, whole}},
		"in line, an answer of something": {[]string{full, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, []string{part, part, whole}},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				d, set := newScriptedSource(t, r.network), r.watch.options
				set.Address, set.Watch.Instances = d.Addr().String(), 32
				set.Initial = endpoints.List{Revision: 7, Endpoints: []endpoints.Endpoint{{ID: "a", Phase: endpoints.Serving}}}
				r.watch, _ = New(set)
				defer r.run()()
				var at *scriptedConn
				for i, want := range c.want {
					if at == nil {
						at = d.accept()
					}
					if got := at.nextTarget(); (want == whole) != (got == whole) || !strings.HasPrefix(got, want) {
						t.Errorf("call %d asks for %q, want %q", i, got, want)
					}
					switch {
					case i == len(c.says):
					case c.says[i] == "end":
						at.Close()
						at = nil
					case c.says[i] == news:
						at.write(news)
					default:
						at.write(c.says[i])
						if got := at.nextTarget(); got != "ended" {
							t.Errorf("after call %d: %q", i, got)
						}
						at = nil
					}
				}
			})
		})
	}
}
