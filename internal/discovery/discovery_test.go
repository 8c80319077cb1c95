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

// fixture is a watch, in simulated time, of a source that lists the servers a and b.
type fixture struct {
	t       *testing.T
	network *fakes.Memory
	source  *fakes.Discovery
	watch   *Watch
	phases  map[string]string // by id, from the calls of OnUpdate
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

// withWatch runs f in a synctest bubble, with a watch that is not running yet and whose initial list is empty and has the
// given revision.
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

// wait advances the simulated time by d and waits until all goroutines are blocked.
func (r *fixture) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// replaceWatch replaces the watch by a new one with the given options.
func (r *fixture) replaceWatch(options Options) {
	w, err := New(options)
	if err != nil {
		r.t.Fatal(err)
	}
	r.watch = w
}

// run starts the watch and returns a function that stops it.
func (r *fixture) run() (stop func()) {
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

// A source whose responses are lost, late or wrong is polled again. Wrong responses are not used, and the first good response
// after the fault is used no later than the longest delay between polls plus the duration of one poll.
func TestUpdatesAfterFaults(t *testing.T) {
	const within = 2*time.Second + 3*time.Second
	for name, c := range map[string]struct {
		begin  func(*fakes.Discovery) error
		end    func(*fakes.Discovery) error // nil = the fault is over at once
		logged string                       // part of the log; "" = nothing is logged
	}{
		"lost responses": {
			func(d *fakes.Discovery) error { d.DropResponses(true); return nil },
			func(d *fakes.Discovery) error { d.DropResponses(false); return nil }, "timeout",
		},
		"held responses": {
			func(d *fakes.Discovery) error { d.HoldResponses(true); return nil },
			func(d *fakes.Discovery) error { d.HoldResponses(false); return nil }, "timeout",
		},
		"late beyond the timeout": {
			func(d *fakes.Discovery) error { d.SetDelay(4 * time.Second); return nil },
			func(d *fakes.Discovery) error { d.SetDelay(0); return nil }, "timeout",
		},
		"changes instead of the complete list": {func(d *fakes.Discovery) error { // the complete list is requested after a failure
			d.PartialForComplete(true)
			return errors.Join(d.SetDown(true), d.SetDown(false))
		}, func(d *fakes.Discovery) error { d.PartialForComplete(false); return nil }, "got changes"},
		"malformed": {
			func(d *fakes.Discovery) error {
				d.ReplaceResponses([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnews"))
				return nil
			},
			func(d *fakes.Discovery) error { d.ReplaceResponses(nil); return nil }, "state=failed",
		},
		"connections without traffic": {
			func(d *fakes.Discovery) error { return d.SetSilent(true) },
			func(d *fakes.Discovery) error { return d.SetSilent(false) }, "timeout",
		},
		"complete list":         {func(d *fakes.Discovery) error { d.CompleteForWatch(true); return nil }, nil, ""},
		"restart at revision 1": {func(d *fakes.Discovery) error { return d.RestartAt(1) }, nil, "state=failed"},
		"restart at revision 9": {func(d *fakes.Discovery) error { return d.RestartAt(9) }, nil, "state=failed"},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				defer r.run()()
				<-r.watch.FirstResponse()
				for range 3 { // so that the revision is above 1
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
					t.Errorf("logged %q, want %q", logged, c.logged)
				}
			})
		})
	}
}

// After SetAddress, even before the first poll, the first request to the new source is for the complete list.
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
					<-r.watch.FirstResponse()
					r.watch.SetAddress("e:1")
				}
				r.wait(500 * time.Millisecond)
				calls := other.Requests()
				if len(calls) == 0 || !calls[0].Complete || slices.ContainsFunc(calls[1:], func(c fakes.DiscoveryRequest) bool { return c.Complete }) {
					t.Errorf("requests to the new source: %+v", calls)
				}
				if r.watch.Address() != "e:1" || len(r.phases) != 2 {
					t.Errorf("source %s, list %v", r.watch.Address(), r.phases)
				}
			})
		})
	}
}

// Changes at an agent take effect at once while it is not polled, so that OnValidity is called before each delay begins.
func TestValidityIsReportedBeforeDelays(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		options := r.watch.options
		options.Watch = watchpolicy.PushedSettings(750 * time.Millisecond)
		r.replaceWatch(options)
		var validFor []time.Duration // how long the list may still be relied on as each poll or delay begins
		r.watch.options.OnValidity = func(t staleness.Validity) { validFor = append(validFor, time.Until(t.ListUntil)) }
		stop := r.run()
		r.wait(1500 * time.Millisecond)
		before := len(validFor)
		r.source.Close() // each poll fails at once
		r.wait(100 * time.Millisecond)
		if len(validFor) <= before || validFor[before-1] < time.Second || validFor[before] != 0 {
			t.Errorf("%d validities before the source closed: %s", before, validFor)
		}
		stop()
	})
}

// With 32 instances at one source, a poll that is rejected, or that times out while polls are being rejected, is followed by
// a request for changes. Any other timeout, and the end of the connection, is followed by a request for the complete list.
func TestPollsWhileRejected(t *testing.T) {
	const rejected, changes, complete = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "?index=7&wait=", ""
	noChange := okResponse(listJSON(7, false))
	for name, c := range map[string]struct{ responses, want []string }{ // response "" = none, until the poll times out
		"rejected":                            {[]string{rejected, rejected, rejected}, []string{changes, changes, changes, changes}},
		"timed out in the queue":              {[]string{rejected, "", "", rejected}, []string{changes, changes, changes, changes, changes}},
		"no change, then silent":              {[]string{rejected, noChange, "", rejected, ""}, []string{changes, changes, changes, complete, complete, complete}},
		"silent from the start":               {[]string{"", rejected}, []string{changes, complete, complete}},
		"rejected, then closed":               {[]string{rejected, "close", rejected}, []string{changes, changes, complete, complete}},
		"rejected, then a truncated response": {[]string{rejected, noChange[:20]}, []string{changes, changes, complete}},
		"rejected, then an error":             {[]string{rejected, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, []string{changes, changes, complete}},
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
						t.Errorf("poll %d requests %q, want %q", i, got, want)
					}
					switch {
					case i == len(c.responses):
					case c.responses[i] == "close":
						conn.Close()
						conn = nil
					case c.responses[i] == noChange:
						conn.write(noChange)
					default:
						conn.write(c.responses[i])
						if got := conn.nextTarget(); got != "closed" {
							t.Errorf("after poll %d: %q", i, got)
						}
						conn = nil
					}
				}
			})
		})
	}
}
