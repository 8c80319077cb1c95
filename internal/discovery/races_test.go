package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
	"plankrouter/internal/staleness"
	"plankrouter/internal/testbench/fakes"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedSource is a directory whose every byte the test writes.
type scriptedSource struct {
	*testing.T
	net.Listener
}

const stepTimeout = 10 * time.Second // of real time: a step that takes so long has failed

// newScriptedSource listens in a network of simulated time, or, without one, on a real socket.
func newScriptedSource(t *testing.T, n fakes.Network) *scriptedSource {
	var l net.Listener
	var err error
	if n != nil {
		l, err = n.Listen("127.0.0.1")
	} else if l, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout))
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &scriptedSource{t, l}
}

// accept is one connection to it.
type scriptedConn struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *scriptedSource) accept() *scriptedConn {
	s.Helper()
	c, err := s.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	if _, real := c.(*net.TCPConn); real {
		c.SetDeadline(time.Now().Add(stepTimeout))
	}
	return &scriptedConn{s.T, c, bufio.NewReader(c)}
}

// nextTarget is what the next call on the connection asks for; "" = the whole list.
func (c *scriptedConn) nextTarget() string {
	r, err := http1.ReadRequest(c.reader)
	if err != nil {
		return "ended"
	}
	return strings.TrimPrefix(r.Target, http1.PathList)
}

func (c *scriptedConn) write(pieces ...string) {
	for _, p := range pieces {
		c.Write([]byte(p)) // who has hung up does not read it
	}
}

// listJSON words a list: of a revision, whole or not, of lines like "a=SERVING".
func listJSON(revision int, whole bool, lines ...string) string {
	var all []string
	for _, l := range lines {
		id, phase, _ := strings.Cut(l, "=")
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q}`, id, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, whole, strings.Join(all, ","))
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// An answer that has begun and falls silent is given up as soon as one that has not, wherever it stops, and the whole list
// is asked for anew, within the grace of a drain. One that keeps coming is taken, for as long as an answer may last.
func TestSilenceWithinAnAnswer(t *testing.T) {
	const grace, head = 750 * time.Millisecond, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
	const chunked, interim = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"
	list := listJSON(7, true, "a=SERVING")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(list), list)
	for name, c := range map[string]struct {
		pieces []string // 300 ms apart
		taken  bool
	}{
		"nothing":            {nil, false},
		"a byte":             {[]string{"H"}, false},
		"in the head":        {[]string{"HTTP/1.1 200 OK\r\nContent-", "Length:"}, false},
		"an interim answer":  {[]string{interim}, false},
		"in an interim one":  {[]string{interim[:9]}, false},
		"a head behind one":  {[]string{interim + head}, false},
		"a head":             {[]string{head}, false},
		"in the body":        {[]string{head, `{"revision"`, ":7"}, false},
		"in a chunk":         {[]string{chunked + chunk[:9]}, false},
		"between chunks":     {[]string{chunked, chunk}, false},
		"in the last chunk":  {[]string{chunked + chunk, "0\r\n"}, false},
		"up to its close":    {[]string{"HTTP/1.1 200 OK\r\n\r\n" + list}, false},
		"slow":               {strings.SplitAfter(okResponse(list), ":"), true},
		"slow and in chunks": {[]string{chunked, chunk[:1], chunk[1:9], chunk[9:60], chunk[60:], "0\r\n", "\r\n"}, true},
		"slow behind one":    {[]string{interim + "HTTP", okResponse(list)[4:50], okResponse(list)[50:]}, true},
	} {
		t.Run(name, func(t *testing.T) {
			withWatch(t, 0, func(r *fixture) {
				d := newScriptedSource(t, r.network)
				set := r.watch.options
				set.Address, set.Watch = d.Addr().String(), staleness.PushedSettings(grace)
				r.watch, _ = New(set)
				defer r.run()()
				first := d.accept()
				first.nextTarget()
				at := time.Now()
				for i, p := range c.pieces {
					if i > 0 {
						time.Sleep(300 * time.Millisecond)
					}
					first.write(p)
					at = time.Now()
				}
				if c.taken {
					if asked := first.nextTarget(); !strings.HasPrefix(asked, "?index=7&") || r.watch.Failures.Load() != 0 {
						t.Errorf("afterwards it asks %q: %q", asked, r.logged)
					}
					return
				}
				if asked := d.accept().nextTarget(); asked != "" || time.Since(at) > 460*time.Millisecond || len(r.phases) > 0 {
					t.Errorf("it asks %q %s later, told %v", asked, time.Since(at), r.phases)
				}
			})
		})
	}
}

// Bytes that never end, and connections that never come up, hold the watch no longer than an answer and a pause may last.
func TestEndlessAnswerAndHangingDial(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		d, set := newScriptedSource(t, r.network), r.watch.options
		set.Address, set.Watch = d.Addr().String(), staleness.PushedSettings(750*time.Millisecond)
		dials := make(chan time.Time, 100)
		set.Budget = connlimit.NewBudget(8, func(ctx context.Context, address string) (net.Conn, error) {
			if dials <- time.Now(); len(dials) == 1 {
				return r.network.Dial(ctx, address)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r.watch, _ = New(set)
		defer r.run()()
		first := d.accept()
		first.nextTarget()
		for first.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"); len(dials) == 1; r.wait(300 * time.Millisecond) {
			first.write(" ")
		}
		r.wait(3 * time.Second)
		began, again := <-dials, <-dials
		<-dials
		if given, twice := again.Sub(began), (<-dials).Sub(again); given < maxTransferTime || given > maxTransferTime+100*time.Millisecond ||
			twice > 1100*time.Millisecond {
			t.Errorf("dialled anew after %s, and twice within %s", given, twice)
		}
	})
}

// What a list is worth once it is heard counts from the first byte: what follows that may come slowly.
func TestSlowAnswerIsDatedByFirstByte(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		d, set := newScriptedSource(t, r.network), r.watch.options
		set.Address = d.Addr().String()
		var sure time.Time
		set.OnValidity = func(t staleness.Validity) { sure = t.ListUntil }
		set.OnUpdate = func(l endpoints.List, at time.Time) {
			if r.onUpdate(l, at); l.Revision == 8 {
				r.watch.SetAddress("e:1")
			}
		}
		r.watch, _ = New(set)
		defer r.run()()
		c := d.accept()
		c.nextTarget()
		c.write(okResponse(listJSON(7, true, "a=SERVING")))
		c.nextTarget()
		news, asked := okResponse(listJSON(8, false, "a=DRAINING")), time.Now()
		for i := range 6 { // each well within the pause, and in all well beyond the wait
			time.Sleep(500 * time.Millisecond)
			c.write(news[i*15 : i*15+15])
		}
		c.write(news[90:])
		r.wait(time.Millisecond)
		if left := sure.Sub(asked); left > 4*time.Second || left < 3900*time.Millisecond || r.phases["a"] != endpoints.Draining {
			t.Errorf("sure until %s after the call that brought %v", left, r.phases)
		}
	})
}

// raceFixture is a watch on real sockets that waits for long, so that whatever happens is the test's doing.
type raceFixture struct {
	*scriptedSource
	*Watch
	updates     chan string      // "revision: id=phase ..." of each list, in the hands of the pool from then on
	proceed     chan struct{}    // lets the pool give the list back
	onRead      func(whole bool) // sees each read from the directory before the watch does; nil = nobody
	end         context.CancelFunc
	ended       chan error
	onConnected func() // is called as a connection has come up; nil = nothing is
	onValidity  func() // is called as a call begins; nil = nothing is
}

func newRaceFixture(t *testing.T) *raceFixture {
	x := &raceFixture{scriptedSource: newScriptedSource(t, nil), updates: make(chan string), proceed: make(chan struct{}, 100)}
	set := staleness.Settings{
		Wait: time.Minute, MinWait: time.Minute, Timeout: time.Minute, MinTimeout: time.Minute,
		RetryBackoff: time.Millisecond, MaxRetryBackoff: time.Millisecond, RefreshInterval: time.Millisecond, MaxRefreshInterval: time.Millisecond,
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := connlimit.TCP(ctx, address)
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
		Address: x.Addr().String(), Watch: set, Seed: 1, Budget: connlimit.NewBudget(8, dial),
		OnValidity: func(staleness.Validity) {
			if x.onValidity != nil {
				x.onValidity()
			}
		},
		OnUpdate: func(l endpoints.List, at time.Time) {
			if l.Complete {
				clear(phases)
			}
			for _, m := range l.Endpoints {
				if phases[m.ID] = m.Phase; m.Phase == endpoints.Deleted {
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
			case <-x.ended:
				return
			}
		}
	})
}

// start runs the watch up to the list of a and b, revision 7, and b's end, revision 8, which the pool holds.
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

// wantUpdate waits for the next list in the pool's hands.
func (x *raceFixture) wantUpdate(want string) {
	x.Helper()
	select {
	case got := <-x.updates:
		x.want("told", got, want)
	case <-time.After(stepTimeout):
		x.Fatalf("told nothing, want %q", want)
	}
}

func (x *raceFixture) want(what, got, want string) {
	x.Helper()
	if got != want {
		x.Fatalf("%s: %q, want %q", what, got, want)
	}
}

// Whatever comes over the connection between an answer and the next call, no such call is made on it, and nothing of it is
// taken: the whole list is asked for on a new one.
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
			for x.conn.Quiet() && name != "a reset" { // the kernel has it in a moment
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

// An answer that crosses the next call on the wire is not told from that call's: it is taken where it changes nothing that is
// newer, and else the whole list is asked for on a new connection, whose word is taken at any revision.
func TestLateAnswerToEarlierPoll(t *testing.T) {
	older, same := listJSON(7, true, "a=SERVING", "b=SERVING"), listJSON(8, false, "b=DELETED")
	for name, c := range map[string]struct {
		late, told string // "" = nothing
		whole      bool   // is asked for, since all speaks against the list
		refused    bool
	}{
		"the same":                         {same, "8 map[a:SERVING]", false, false},
		"the same, whole":                  {listJSON(8, true, "a=SERVING"), "8 map[a:SERVING]", false, false},
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
			if c.whole {
				asked = ""
				x.Observe("a", staleness.ConnectRefused)
			}
			x.proceed <- struct{}{}
			x.want("asked", conn.nextTarget(), asked)
			conn.write(okResponse(c.late))
			if c.told != "" {
				x.wantUpdate(c.told)
				x.proceed <- struct{}{}
			}
			if !c.refused {
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

// Wherever Move comes, what the old directory has said by then is told, as its word, and nothing that it says later; the new
// one is asked for the whole list. Of several moves the last counts, and one that leads back leads to the list that is known.
func TestSetAddressRaces(t *testing.T) {
	news := okResponse(listJSON(9, false, "a=DRAINING"))
	for name, c := range map[string]struct {
		at   string // what the watch is doing
		told bool   // the old directory's answer is
		back bool
	}{
		"half of an answer is read":     {"half", false, false},
		"and back":                      {"half", false, true},
		"the whole of it was read":      {"whole", true, false},
		"that, and back":                {"whole", true, true},
		"the pool takes it":             {"pool", true, false},
		"the pool takes it, and back":   {"pool", true, true},
		"a call begins":                 {"call", false, false},
		"a call begins, and back":       {"call", false, true},
		"the call is out and no answer": {"out", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, e, f := newRaceFixture(t), newScriptedSource(t, nil), newScriptedSource(t, nil)
			old, moved := x.Addr().String(), make(chan bool, 1)
			move := func() {
				if x.SetAddress(e.Addr().String()); c.back {
					x.SetAddress(old)
				} else {
					x.SetAddress(f.Addr().String())
				}
				moved <- true
			}
			conn := x.start()
			var once sync.Once
			x.onRead = func(whole bool) {
				if whole == (c.at == "whole") && (c.at == "half" || c.at == "whole") {
					once.Do(move)
				}
			}
			if c.at == "call" {
				x.onValidity = func() { once.Do(move) }
			}
			x.proceed <- struct{}{}
			if c.at != "call" { // that is not made
				conn.nextTarget()
			}
			switch c.at {
			case "call":
			case "out":
				move()
			case "half":
				conn.write(news[:60])
			default:
				conn.write(news)
			}
			if c.told {
				x.wantUpdate("9 map[a:DRAINING]")
				x.want("source", x.Address(), old)
				if c.at == "pool" {
					move()
				}
				x.proceed <- struct{}{}
			}
			<-moved
			if c.at != "pool" && c.at != "call" || !c.back {
				x.want("then, on that connection", conn.nextTarget(), "ended")
				conn.write(news[60:]) // too late, if it was not read
			}
			if c.back {
				if c.at != "pool" && c.at != "call" {
					conn = x.accept()
				}
				x.want("asked", conn.nextTarget()[:8], map[bool]string{true: "?index=9", false: "?index=8"}[c.told])
				return
			}
			now := f.accept()
			x.want("the new one is asked", now.nextTarget(), "")
			x.want("source", x.Address(), old)
			now.write(okResponse(listJSON(3, true, "c=SERVING")))
			x.wantUpdate("3 map[c:SERVING]")
			x.want("source", x.Address(), f.Addr().String())
			x.proceed <- struct{}{}
			x.want("the new one is asked", now.nextTarget(), "?index=3&wait=60000")
			if x.Failures.Load() != 0 {
				t.Errorf("%d calls have failed", x.Failures.Load())
			}
		})
	}
}

// A move that comes just as a connection to the old directory is up leaves that unused, and what a failure owes is not forgotten.
func TestSetAddressAsConnectionComesUp(t *testing.T) {
	for _, back := range []bool{false, true} {
		x, e := newRaceFixture(t), newScriptedSource(t, nil)
		conn, to, once := x.start(), e, sync.Once{}
		x.onConnected = func() {
			once.Do(func() {
				if x.SetAddress(e.Addr().String()); back {
					x.SetAddress(x.Addr().String())
				}
			})
		}
		conn.Close()
		for x.conn.Quiet() {
			time.Sleep(time.Millisecond)
		}
		x.proceed <- struct{}{}
		if x.accept(); back {
			to = x.scriptedSource
		}
		now := to.accept()
		x.want("asked", now.nextTarget(), "")
		now.write(okResponse(listJSON(3, true, "c=SERVING")))
		x.wantUpdate("3 map[c:SERVING]")
	}
}

// On a real socket, too, an answer that stops is given up long before its whole time is over.
func TestSilenceOnASocket(t *testing.T) {
	x := newRaceFixture(t)
	set := x.options
	set.Watch.Timeout, set.Watch.MinTimeout = 200*time.Millisecond, 200*time.Millisecond
	x.Watch, _ = New(set)
	x.run()
	conn, at := x.accept(), time.Now()
	conn.nextTarget()
	conn.write(okResponse(listJSON(7, true, "a=SERVING"))[:60])
	x.want("asked anew", x.accept().nextTarget(), "")
	if took := time.Since(at); took > maxTransferTime/2 {
		t.Errorf("after %s", took)
	}
}

// Wherever evidence against the list, or the end of the watch, comes: an answer that was read by then is told. After evidence the
// next call is for the whole list, also where the present one was just answered by one; after the end there is none.
func TestEvidenceAndShutdownRaces(t *testing.T) {
	for i, at := range []string{"out", "half", "whole", "changes", "pool", "call"} {
		for _, end := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, end %t", at, end), func(t *testing.T) {
				x, done := newRaceFixture(t), make(chan bool, 1)
				var once sync.Once
				happen := func() {
					once.Do(func() {
						if end {
							x.end()
						} else {
							x.Observe("a", staleness.ConnectRefused)
						}
						done <- true
					})
				}
				conn, told := x.start(), i >= 2 && at != "call"
				news := okResponse(listJSON(9, at == "whole", "a=SERVING"))
				x.onRead = func(whole bool) {
					if at == "half" || whole && (at == "whole" || at == "changes") {
						happen()
					}
				}
				if at == "call" {
					x.onValidity = happen
				}
				x.proceed <- struct{}{}
				if at != "call" {
					x.want("asked", conn.nextTarget(), "?index=8&wait=60000")
				}
				switch {
				case at == "out":
					happen()
				case at == "half":
					conn.write(news[:60])
				case told:
					conn.write(news)
					x.wantUpdate("9 map[a:SERVING]")
					if at == "pool" {
						happen()
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
				if at != "pool" && at != "call" {
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

// A process that begins with a list of revision 50 takes the first answer at any revision if it is whole, and changes if they are
// newer; and where nobody vouches for the list, or the changes are older, it asks for the whole list.
func TestFirstList(t *testing.T) {
	const at50 = "?index=50&wait=60000"
	for name, c := range map[string]struct {
		anew              bool
		asked, said, told string
		next              string // that it asks, on a new connection where the answer was refused
	}{
		"newer changes":         {false, at50, listJSON(51, false, "b=DRAINING"), "51 map[b:DRAINING]", "?index=51&wait=60000"},
		"the present revision":  {false, at50, listJSON(50, false), "", at50},
		"older changes":         {false, at50, listJSON(2, false, "b=SERVING"), "", ""},
		"an older list":         {false, at50, listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an older list, anew":   {true, "", listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an empty list, anew":   {true, "", listJSON(2, true), "2 map[]", "?index=2&wait=60000"},
		"newer changes, anew":   {true, "", listJSON(51, false, "b=DRAINING"), "", ""},
		"no list at all, anew":  {true, "", `{"revision":51,"complete":true}`, "", ""},
		"a list that is cut":    {true, "", listJSON(51, true, "b=SERVING")[:40], "", ""},
		"nothing but a number":  {false, at50, `{"revision":50}`, "", at50},
		"nothing but an object": {false, at50, `{}`, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			x := newRaceFixture(t)
			set := x.options
			set.IgnoreRevision, set.Initial = c.anew, endpoints.List{Revision: 50, Endpoints: []endpoints.Endpoint{{ID: "a", Phase: endpoints.Serving}}}
			x.Watch, _ = New(set)
			x.run()
			conn := x.accept()
			x.want("asked", conn.nextTarget(), c.asked)
			if conn.write(okResponse(c.said)); c.told != "" {
				x.wantUpdate(c.told)
				x.proceed <- struct{}{}
			}
			if c.next == "" {
				conn = x.accept()
			}
			x.want("then asked", conn.nextTarget(), c.next)
		})
	}
}
