package discovery

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/watchpolicy"
)

// raceFixture is a watch on real sockets that waits for long, so that whatever happens is the test's doing.
type raceFixture struct {
	*scriptedSource
	*Watch
	updates     chan string      // "revision map[id:phase ...]" of each list; OnUpdate waits from then on
	proceed     chan struct{}    // lets OnUpdate return
	onRead      func(toEnd bool) // is called after each read, which may be up to the end of an answer, before the watch sees it; nil = nothing is
	end         context.CancelFunc
	ended       chan error
	onConnected func() // is called as a connection has come up; nil = nothing is
	onValidity  func() // is called as a poll begins; nil = nothing is
}

func newRaceFixture(t *testing.T) *raceFixture {
	x := &raceFixture{scriptedSource: newScriptedSource(t, nil), updates: make(chan string), proceed: make(chan struct{}, 100)}
	settings := watchpolicy.Settings{
		Wait: time.Minute, MinWait: time.Minute, Timeout: time.Minute, MinTimeout: time.Minute,
		RetryBackoff: time.Millisecond, MaxRetryBackoff: time.Millisecond, RefreshInterval: time.Millisecond, MaxRefreshInterval: time.Millisecond,
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := connlimit.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		if x.onConnected != nil {
			x.onConnected()
		}
		return &observedConn{c.(*net.TCPConn), x}, nil
	}
	phases := map[string]string{}
	var err error
	x.Watch, err = New(Options{
		Address: x.Addr().String(), Watch: settings, Seed: 1, Budget: connlimit.NewBudget(8, dial),
		OnValidity: func(staleness.Validity) {
			if x.onValidity != nil {
				x.onValidity()
			}
		},
		OnUpdate: func(l endpoints.List, _ time.Time) {
			if l.Complete {
				clear(phases)
			}
			for _, m := range l.Endpoints {
				phases[m.ID] = m.Phase
				if m.Phase == endpoints.Deleted {
					delete(phases, m.ID)
				}
			}
			x.updates <- fmt.Sprint(l.Revision, phases)
			<-x.proceed
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// observedConn is the watch's end of a connection.
type observedConn struct {
	*net.TCPConn
	fixture *raceFixture
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.fixture.onRead != nil && n > 0 {
		c.fixture.onRead(strings.HasSuffix(string(p[:n]), "]}"))
	}
	return n, err
}

// run starts the watch.
func (x *raceFixture) run() {
	var ctx context.Context
	ctx, x.end = context.WithCancel(x.Context())
	x.ended = make(chan error)
	go func() { defer close(x.ended); x.ended <- x.Run(ctx) }()
	x.Cleanup(func() {
		x.end()
		close(x.proceed)
		for {
			select {
			case <-x.updates:
			case err, running := <-x.ended:
				if err != nil {
					x.Error(err)
				}
				if !running {
					return
				}
			}
		}
	})
}

// start runs the watch up to the list of a and b, revision 7, and b's end, revision 8, in whose OnUpdate it waits.
func (x *raceFixture) start() *scriptedConn {
	x.run()
	c := x.accept()
	x.want("asked", c.nextTarget(), "")
	x.proceed <- struct{}{}
	c.write(okResponse(listJSON(7, true, "a=SERVING", "b=SERVING")))
	x.wantUpdate("7 map[a:SERVING b:SERVING]")
	x.want("asked", c.nextTarget(), "?index=7&wait=60000")
	c.write(okResponse(listJSON(8, false, "b=DELETED")))
	x.wantUpdate("8 map[a:SERVING]")
	return c
}

// wantUpdate waits for the next call of OnUpdate.
func (x *raceFixture) wantUpdate(want string) {
	x.Helper()
	select {
	case got := <-x.updates:
		x.want("updated", got, want)
	case <-time.After(stepTimeout):
		x.Fatalf("no update, want %q", want)
	}
}

func (x *raceFixture) want(what, got, want string) {
	x.Helper()
	if got != want {
		x.Fatalf("%s: %q, want %q", what, got, want)
	}
}

// Whatever comes over the connection between an answer and the next poll, no poll is made on it, and nothing of it is used: the complete
// list is asked for on a new one.
func TestBytesBetweenTwoPolls(t *testing.T) {
	for name, between := range map[string]func(*scriptedConn){
		"the answer again":  func(c *scriptedConn) { c.write(okResponse(listJSON(8, false, "b=DELETED"))) },
		"an older one":      func(c *scriptedConn) { c.write(okResponse(listJSON(7, true, "a=SERVING", "b=SERVING"))) },
		"one that is newer": func(c *scriptedConn) { c.write(okResponse(listJSON(9, false, "b=SERVING"))) },
		"the start of one":  func(c *scriptedConn) { c.write("HTTP/1.1 ") },
		"bytes":             func(c *scriptedConn) { c.write("\r\n") },
		"its end":           func(c *scriptedConn) { c.Close() },
		"a reset":           func(c *scriptedConn) { fakes.Abort(c.Conn) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newRaceFixture(t)
			c := x.start()
			between(c)
			for x.conn.HasNothingUnread() && name != "a reset" { // the kernel has it in a moment
				time.Sleep(time.Millisecond)
			}
			x.proceed <- struct{}{}
			again := x.accept()
			x.want("then asked", again.nextTarget(), "")
			x.want("asked on the old connection", c.nextTarget(), "ended")
			x.proceed <- struct{}{}
			again.write(okResponse(listJSON(8, true, "a=SERVING")))
			x.wantUpdate("8 map[a:SERVING]")
			x.want("asked", again.nextTarget(), "?index=8&wait=60000")
		})
	}
}

// A late answer can't be distinguished from that to the next poll: it is used where it changes nothing that is newer, and else the complete
// list is asked for on a new connection, whose answer is used at any revision.
func TestLateAnswerToEarlierPoll(t *testing.T) {
	older, same := listJSON(7, true, "a=SERVING", "b=SERVING"), listJSON(8, false, "b=DELETED")
	for name, c := range map[string]struct {
		late, update string // "" = none
		complete     bool   // is asked for, since all contradicts the list
		rejected     bool
	}{
		"the same":                         {same, "8 map[a:SERVING]", false, false},
		"the same, complete":               {listJSON(8, true, "a=SERVING"), "8 map[a:SERVING]", false, false},
		"nothing new":                      {listJSON(8, false), "", false, false},
		"older changes":                    {listJSON(7, false, "b=SERVING"), "", false, true},
		"older, empty":                     {listJSON(7, false), "", false, true},
		"an older list":                    {older, "", false, true},
		"changes for a list":               {same, "", true, true},
		"an older list for the present":    {older, "", true, true},
		"the present list for the present": {listJSON(8, true, "a=SERVING"), "8 map[a:SERVING]", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, asked := newRaceFixture(t), "?index=8&wait=60000"
			conn := x.start()
			if c.complete {
				asked = ""
				x.Observe("a", staleness.ConnectRefused)
			}
			x.proceed <- struct{}{}
			x.want("asked", conn.nextTarget(), asked)
			conn.write(okResponse(c.late))
			if c.update != "" {
				x.wantUpdate(c.update)
				x.proceed <- struct{}{}
			}
			if !c.rejected {
				x.want("then asked", conn.nextTarget(), "?index=8&wait=60000")
				conn.write(okResponse(listJSON(9, false, "a=DRAINING")))
				x.wantUpdate("9 map[a:DRAINING]")
				return
			}
			again := x.accept()
			x.want("then asked", again.nextTarget(), "")
			again.write(okResponse(listJSON(3, true, "c=SERVING"))) // it counts anew
			x.wantUpdate("3 map[c:SERVING]")
			x.proceed <- struct{}{}
			x.want("and", again.nextTarget(), "?index=3&wait=60000")
		})
	}
}

// Whenever SetAddress is called, what the old source has answered by then is used, as its list, and nothing that it answers later; the new
// one is asked for the complete list. Of several calls the last counts, and one that leads back leads to the list that is known.
func TestSetAddressRaces(t *testing.T) {
	changes := okResponse(listJSON(9, false, "a=DRAINING"))
	for name, c := range map[string]struct {
		at      string // what the watch is doing
		updated bool   // by the old source's answer
		back    bool
	}{
		"half of an answer is read":      {"half", false, false},
		"and back":                       {"half", false, true},
		"the whole of it is read":        {"whole", true, false},
		"that, and back":                 {"whole", true, true},
		"OnUpdate has it":                {"update", true, false},
		"OnUpdate has it, and back":      {"update", true, true},
		"a poll begins":                  {"poll", false, false},
		"a poll begins, and back":        {"poll", false, true},
		"the poll is sent and no answer": {"sent", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := newRaceFixture(t)
			second, third := newScriptedSource(t, nil), newScriptedSource(t, nil)
			old, moved := x.Addr().String(), make(chan bool, 1)
			move := func() {
				if x.SetAddress(second.Addr().String()); c.back {
					x.SetAddress(old)
				} else {
					x.SetAddress(third.Addr().String())
				}
				moved <- true
			}
			conn := x.start()
			var once sync.Once
			x.onRead = func(toEnd bool) {
				if toEnd == (c.at == "whole") && (c.at == "half" || c.at == "whole") {
					once.Do(move)
				}
			}
			if c.at == "poll" {
				x.onValidity = func() { once.Do(move) }
			}
			x.proceed <- struct{}{}
			if c.at != "poll" { // whose request is not sent
				conn.nextTarget()
			}
			switch c.at {
			case "poll":
			case "sent":
				move()
			case "half":
				conn.write(changes[:60])
			default:
				conn.write(changes)
			}
			if c.updated {
				x.wantUpdate("9 map[a:DRAINING]")
				x.want("source", x.Address(), old)
				if c.at == "update" {
					move()
				}
				x.proceed <- struct{}{}
			}
			<-moved
			if c.at != "update" && c.at != "poll" || !c.back {
				x.want("then, on that connection", conn.nextTarget(), "ended")
				conn.write(changes[60:]) // too late, if it was not read
			}
			if c.back {
				if c.at != "update" && c.at != "poll" {
					conn = x.accept()
				}
				x.want("asked", conn.nextTarget()[:8], map[bool]string{true: "?index=9", false: "?index=8"}[c.updated])
				return
			}
			now := third.accept()
			x.want("the new one is asked", now.nextTarget(), "")
			x.want("source", x.Address(), old)
			now.write(okResponse(listJSON(3, true, "c=SERVING")))
			x.wantUpdate("3 map[c:SERVING]")
			x.want("source", x.Address(), third.Addr().String())
			x.proceed <- struct{}{}
			x.want("the new one is asked", now.nextTarget(), "?index=3&wait=60000")
			if x.Failures.Load() != 0 {
				t.Errorf("%d polls have failed", x.Failures.Load())
			}
		})
	}
}

// A SetAddress just as a connection to the old source has come up leaves that unused, and that a failure needs the complete list is not
// forgotten.
func TestSetAddressAsConnectionComesUp(t *testing.T) {
	for _, back := range []bool{false, true} {
		x := newRaceFixture(t)
		second := newScriptedSource(t, nil)
		conn, next, once := x.start(), second, sync.Once{}
		x.onConnected = func() {
			once.Do(func() {
				if x.SetAddress(second.Addr().String()); back {
					x.SetAddress(x.Addr().String())
				}
			})
		}
		conn.Close()
		for x.conn.HasNothingUnread() {
			time.Sleep(time.Millisecond)
		}
		x.proceed <- struct{}{}
		if x.accept(); back {
			next = x.scriptedSource
		}
		now := next.accept()
		x.want("asked", now.nextTarget(), "")
		now.write(okResponse(listJSON(3, true, "c=SERVING")))
		x.wantUpdate("3 map[c:SERVING]")
	}
}

// Whenever evidence against the list, or the end of the watch, comes: an answer that was read by then is used. After evidence the next poll
// is for the complete list, also where the present one was just answered by one; after the end there is none.
func TestEvidenceAndShutdownRaces(t *testing.T) {
	for i, at := range []string{"sent", "half", "whole", "changes", "update", "poll"} {
		for _, end := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, end %t", at, end), func(t *testing.T) {
				x, done := newRaceFixture(t), make(chan bool, 1)
				var once sync.Once
				act := func() {
					once.Do(func() {
						if end {
							x.end()
						} else {
							x.Observe("a", staleness.ConnectRefused)
						}
						done <- true
					})
				}
				conn := x.start()
				updated := i >= 2 && at != "poll"
				changes := okResponse(listJSON(9, at == "whole", "a=SERVING"))
				x.onRead = func(toEnd bool) {
					if at == "half" || toEnd && (at == "whole" || at == "changes") {
						act()
					}
				}
				if at == "poll" {
					x.onValidity = act
				}
				x.proceed <- struct{}{}
				if at != "poll" {
					x.want("asked", conn.nextTarget(), "?index=8&wait=60000")
				}
				switch {
				case at == "sent":
					act()
				case at == "half":
					conn.write(changes[:60])
				case updated:
					conn.write(changes)
					x.wantUpdate("9 map[a:SERVING]")
					if at == "update" {
						act()
					}
					x.proceed <- struct{}{}
				}
				<-done
				if end {
					if err := <-x.ended; err != nil || x.Failures.Load() != 0 {
						t.Errorf("ended with %v, %d failures", err, x.Failures.Load())
					}
					x.want("then asked", conn.nextTarget(), "ended")
					return
				}
				if at != "update" && at != "poll" {
					x.want("then, on that connection", conn.nextTarget(), "ended")
					conn = x.accept()
				}
				x.want("then asked", conn.nextTarget(), "")
				conn.write(okResponse(listJSON(9, true, "a=SERVING")))
				x.wantUpdate("9 map[a:SERVING]")
				x.proceed <- struct{}{}
				x.want("after that", conn.nextTarget(), "?index=9&wait=60000")
			})
		}
	}
}
