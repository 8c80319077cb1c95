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

// raceFixture is a watch on real sockets with long timeouts, so that only the test causes events.
type raceFixture struct {
	*scriptedSource
	*Watch
	updates     chan string      // "revision map[id:phase ...]" of each update; OnUpdate then waits for proceed
	proceed     chan struct{}    // a value makes OnUpdate return
	onRead      func(toEnd bool) // called after each read, before the watch sees it; toEnd = up to the end of a response
	end         context.CancelFunc
	ended       chan error
	onConnected func() // called when a connection is established; nil = not called
	onValidity  func() // called when a poll begins; nil = not called
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

// observedConn is the watch's side of a connection; it calls onRead of the fixture.
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

// start runs the watch until it has received the list of a and b, revision 7, and the deletion of b, revision 8, whose
// OnUpdate still waits.
func (x *raceFixture) start() *scriptedConn {
	x.run()
	c := x.accept()
	x.want("requested", c.nextTarget(), "")
	x.proceed <- struct{}{}
	c.write(okResponse(listJSON(7, true, "a=SERVING", "b=SERVING")))
	x.wantUpdate("7 map[a:SERVING b:SERVING]")
	x.want("requested", c.nextTarget(), "?index=7&wait=60000")
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

// Data that arrives between a response and the next poll is not used, and neither is its connection: the complete list is
// requested on a new one. The same goes for a connection that is closed or reset in between.
func TestBytesBetweenTwoPolls(t *testing.T) {
	for name, between := range map[string]func(*scriptedConn){
		"the response again":      func(c *scriptedConn) { c.write(okResponse(listJSON(8, false, "b=DELETED"))) },
		"an older response":       func(c *scriptedConn) { c.write(okResponse(listJSON(7, true, "a=SERVING", "b=SERVING"))) },
		"a newer response":        func(c *scriptedConn) { c.write(okResponse(listJSON(9, false, "b=SERVING"))) },
		"the start of a response": func(c *scriptedConn) { c.write("HTTP/1.1 ") },
		"bytes":                   func(c *scriptedConn) { c.write("\r\n") },
		"a close":                 func(c *scriptedConn) { c.Close() },
		"a reset":                 func(c *scriptedConn) { fakes.Abort(c.Conn) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newRaceFixture(t)
			c := x.start()
			between(c)
			for x.conn.HasNothingUnread() && name != "a reset" { // until the kernel has received it
				time.Sleep(time.Millisecond)
			}
			x.proceed <- struct{}{}
			retried := x.accept()
			x.want("then requested", retried.nextTarget(), "")
			x.want("requested on the old connection", c.nextTarget(), "closed")
			x.proceed <- struct{}{}
			retried.write(okResponse(listJSON(8, true, "a=SERVING")))
			x.wantUpdate("8 map[a:SERVING]")
			x.want("requested", retried.nextTarget(), "?index=8&wait=60000")
		})
	}
}

// A late response cannot be distinguished from one to the next poll. It is used unless it is older than the list, or only has
// changes where the complete list was requested. Otherwise the complete list is requested on a new connection and used at any
// revision.
func TestLateResponseToEarlierPoll(t *testing.T) {
	older, same := listJSON(7, true, "a=SERVING", "b=SERVING"), listJSON(8, false, "b=DELETED")
	for name, c := range map[string]struct {
		late, update string // "" = none
		complete     bool   // the complete list is requested, because all servers contradict the list
		rejected     bool
	}{
		"the same changes":                         {same, "8 map[a:SERVING]", false, false},
		"the same as a complete list":              {listJSON(8, true, "a=SERVING"), "8 map[a:SERVING]", false, false},
		"no changes":                               {listJSON(8, false), "", false, false},
		"older changes":                            {listJSON(7, false, "b=SERVING"), "", false, true},
		"older, without changes":                   {listJSON(7, false), "", false, true},
		"an older list":                            {older, "", false, true},
		"changes instead of a list":                {same, "", true, true},
		"an older list instead of the present one": {older, "", true, true},
		"the present list":                         {listJSON(8, true, "a=SERVING"), "8 map[a:SERVING]", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, requested := newRaceFixture(t), "?index=8&wait=60000"
			conn := x.start()
			if c.complete {
				requested = ""
				x.Observe("a", staleness.ConnectRefused)
			}
			x.proceed <- struct{}{}
			x.want("requested", conn.nextTarget(), requested)
			conn.write(okResponse(c.late))
			if c.update != "" {
				x.wantUpdate(c.update)
				x.proceed <- struct{}{}
			}
			if !c.rejected {
				x.want("then requested", conn.nextTarget(), "?index=8&wait=60000")
				conn.write(okResponse(listJSON(9, false, "a=DRAINING")))
				x.wantUpdate("9 map[a:DRAINING]")
				return
			}
			retried := x.accept()
			x.want("then requested", retried.nextTarget(), "")
			retried.write(okResponse(listJSON(3, true, "c=SERVING"))) // the revisions have restarted
			x.wantUpdate("3 map[c:SERVING]")
			x.proceed <- struct{}{}
			x.want("after that", retried.nextTarget(), "?index=3&wait=60000")
		})
	}
}

// Whenever SetAddress is called, a response of the old source that the watch has read by that time is used as that source's
// list, and a later one is not. The complete list is requested from the new source. The last of several calls counts, and one
// that returns to the old address continues from the known list.
func TestSetAddressRaces(t *testing.T) {
	changes := okResponse(listJSON(9, false, "a=DRAINING"))
	for name, c := range map[string]struct {
		state   string // what the watch is doing
		updated bool   // by the old source's response
		back    bool
	}{
		"half of a response is read":    {"half", false, false},
		"half, and back":                {"half", false, true},
		"the whole response is read":    {"whole", true, false},
		"the whole response, and back":  {"whole", true, true},
		"OnUpdate is running":           {"update", true, false},
		"OnUpdate is running, and back": {"update", true, true},
		"a poll begins":                 {"poll", false, false},
		"a poll begins, and back":       {"poll", false, true},
		"the poll is sent, no response": {"sent", false, false},
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
				if toEnd == (c.state == "whole") && (c.state == "half" || c.state == "whole") {
					once.Do(move)
				}
			}
			if c.state == "poll" {
				x.onValidity = func() { once.Do(move) }
			}
			x.proceed <- struct{}{}
			if c.state != "poll" { // cancelled before the request is sent
				conn.nextTarget()
			}
			switch c.state {
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
				if c.state == "update" {
					move()
				}
				x.proceed <- struct{}{}
			}
			<-moved
			if c.state != "update" && c.state != "poll" || !c.back {
				x.want("then, on that connection", conn.nextTarget(), "closed")
				conn.write(changes[60:]) // ignored where the first part was not read
			}
			if c.back {
				if c.state != "update" && c.state != "poll" {
					conn = x.accept()
				}
				x.want("requested", conn.nextTarget()[:8], map[bool]string{true: "?index=9", false: "?index=8"}[c.updated])
				return
			}
			newConn := third.accept()
			x.want("requested from the new source", newConn.nextTarget(), "")
			x.want("source", x.Address(), old)
			newConn.write(okResponse(listJSON(3, true, "c=SERVING")))
			x.wantUpdate("3 map[c:SERVING]")
			x.want("source", x.Address(), third.Addr().String())
			x.proceed <- struct{}{}
			x.want("requested from the new source", newConn.nextTarget(), "?index=3&wait=60000")
			if x.Failures.Load() != 0 {
				t.Errorf("%d polls have failed", x.Failures.Load())
			}
		})
	}
}

// After SetAddress at the moment when a connection to the old source is established, that connection stays unused. The poll
// after that still requests the complete list, as it must after a failure.
func TestSetAddressWhileConnecting(t *testing.T) {
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
		newConn := next.accept()
		x.want("requested", newConn.nextTarget(), "")
		newConn.write(okResponse(listJSON(3, true, "c=SERVING")))
		x.wantUpdate("3 map[c:SERVING]")
	}
}

// Whenever there is evidence against the list or the watch ends, a response that has been read is used. After evidence the
// next poll requests the complete list, even if one has just been received; after the end there is no further poll.
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
					x.want("requested", conn.nextTarget(), "?index=8&wait=60000")
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
					x.want("then requested", conn.nextTarget(), "closed")
					return
				}
				if at != "update" && at != "poll" {
					x.want("then, on that connection", conn.nextTarget(), "closed")
					conn = x.accept()
				}
				x.want("then requested", conn.nextTarget(), "")
				conn.write(okResponse(listJSON(9, true, "a=SERVING")))
				x.wantUpdate("9 map[a:SERVING]")
				x.proceed <- struct{}{}
				x.want("after that", conn.nextTarget(), "?index=9&wait=60000")
			})
		}
	}
}
