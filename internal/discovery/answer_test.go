package discovery

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/watchpolicy"
)

// An answer that has begun and stops is given up as soon as one that has not begun, wherever it stops, and the complete list is asked for
// anew, within the grace of a drain. One that keeps coming is used, for as long as an answer may last.
func TestSilenceWithinAnAnswer(t *testing.T) {
	const grace, head = 750 * time.Millisecond, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
	const chunked, interim = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"
	list := listJSON(7, true, "a=SERVING")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(list), list)
	for name, c := range map[string]struct {
		pieces []string // 300 ms apart
		used   bool
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
				options := r.watch.options
				options.Address = d.Addr().String()
				options.Watch = watchpolicy.PushedSettings(grace)
				r.replaceWatch(options)
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
				if c.used {
					if target := first.nextTarget(); !strings.HasPrefix(target, "?index=7&") || r.watch.Failures.Load() != 0 {
						t.Errorf("afterwards it asks %q: %q", target, r.logged)
					}
					return
				}
				if target := d.accept().nextTarget(); target != "" || time.Since(at) > 460*time.Millisecond || len(r.phases) > 0 {
					t.Errorf("it asks %q %s later, list %v", target, time.Since(at), r.phases)
				}
			})
		})
	}
}

// Answers that never end, and connections that never come up, delay the watch no longer than an answer and a pause may last.
func TestEndlessAnswerAndHangingDial(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		d, options := newScriptedSource(t, r.network), r.watch.options
		options.Address = d.Addr().String()
		options.Watch = watchpolicy.PushedSettings(750 * time.Millisecond)
		dials := make(chan time.Time, 100)
		options.Budget = connlimit.NewBudget(8, func(ctx context.Context, address string) (net.Conn, error) {
			if dials <- time.Now(); len(dials) == 1 {
				return r.network.Dial(ctx, address)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r.replaceWatch(options)
		defer r.run()()
		first := d.accept()
		first.nextTarget()
		for first.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"); len(dials) == 1; r.wait(300 * time.Millisecond) {
			first.write(" ")
		}
		r.wait(3 * time.Second)
		began, again := <-dials, <-dials
		<-dials
		if after, within := again.Sub(began), (<-dials).Sub(again); after < maxTransferTime || after > maxTransferTime+100*time.Millisecond ||
			within > 1100*time.Millisecond {
			t.Errorf("dialled anew after %s, and twice within %s", after, within)
		}
	})
}

// The validity of a list counts from its first byte: what follows that may come slowly.
func TestSlowAnswerIsDatedByFirstByte(t *testing.T) {
	withWatch(t, 0, func(r *fixture) {
		d, options := newScriptedSource(t, r.network), r.watch.options
		options.Address = d.Addr().String()
		var listUntil time.Time
		options.OnValidity = func(t staleness.Validity) { listUntil = t.ListUntil }
		options.OnUpdate = func(l endpoints.List, at time.Time) {
			r.onUpdate(l, at)
			if l.Revision == 8 {
				r.watch.SetAddress("e:1")
			}
		}
		r.replaceWatch(options)
		defer r.run()()
		c := d.accept()
		c.nextTarget()
		c.write(okResponse(listJSON(7, true, "a=SERVING")))
		c.nextTarget()
		changes, polledAt := okResponse(listJSON(8, false, "a=DRAINING")), time.Now()
		for i := range 6 { // each well within the pause, and in all well beyond the wait
			time.Sleep(500 * time.Millisecond)
			c.write(changes[i*15 : i*15+15])
		}
		c.write(changes[90:])
		r.wait(time.Millisecond)
		if validFor := listUntil.Sub(polledAt); validFor > 4*time.Second || validFor < 3900*time.Millisecond || r.phases["a"] != endpoints.Draining {
			t.Errorf("valid until %s after the poll that brought %v", validFor, r.phases)
		}
	})
}

// On a real socket, too, an answer that stops is given up long before its whole time is over.
func TestSilenceOnSocket(t *testing.T) {
	x := newRaceFixture(t)
	options := x.options
	options.Watch.Timeout = 200 * time.Millisecond
	options.Watch.MinTimeout = 200 * time.Millisecond
	var err error
	if x.Watch, err = New(options); err != nil {
		t.Fatal(err)
	}
	x.run()
	conn, at := x.accept(), time.Now()
	conn.nextTarget()
	conn.write(okResponse(listJSON(7, true, "a=SERVING"))[:60])
	x.want("asked anew", x.accept().nextTarget(), "")
	if took := time.Since(at); took > maxTransferTime/2 {
		t.Errorf("after %s", took)
	}
}

// A process that begins with a list of revision 50 uses the first answer at any revision if it is complete, and changes if they are newer;
// and where the revision is to be ignored, or the changes are older, it asks for the complete list.
func TestFirstList(t *testing.T) {
	const at50 = "?index=50&wait=60000"
	for name, c := range map[string]struct {
		ignoreRevision         bool
		target, answer, update string
		next                   string // target, on a new connection where the answer was rejected
	}{
		"newer changes":                    {false, at50, listJSON(51, false, "b=DRAINING"), "51 map[b:DRAINING]", "?index=51&wait=60000"},
		"the present revision":             {false, at50, listJSON(50, false), "", at50},
		"older changes":                    {false, at50, listJSON(2, false, "b=SERVING"), "", ""},
		"an older list":                    {false, at50, listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an older list, revision ignored":  {true, "", listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an empty list, revision ignored":  {true, "", listJSON(2, true), "2 map[]", "?index=2&wait=60000"},
		"newer changes, revision ignored":  {true, "", listJSON(51, false, "b=DRAINING"), "", ""},
		"no list at all, revision ignored": {true, "", `{"revision":51,"complete":true}`, "", ""},
		"a list that is cut":               {true, "", listJSON(51, true, "b=SERVING")[:40], "", ""},
		"nothing but a number":             {false, at50, `{"revision":50}`, "", at50},
		"nothing but an object":            {false, at50, `{}`, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			x := newRaceFixture(t)
			options := x.options
			options.IgnoreRevision = c.ignoreRevision
			options.Initial = endpoints.List{Revision: 50, Endpoints: []endpoints.Endpoint{{ID: "a", Phase: endpoints.Serving}}}
			var err error
			if x.Watch, err = New(options); err != nil {
				t.Fatal(err)
			}
			x.run()
			conn := x.accept()
			x.want("asked", conn.nextTarget(), c.target)
			if conn.write(okResponse(c.answer)); c.update != "" {
				x.wantUpdate(c.update)
				x.proceed <- struct{}{}
			}
			if c.next == "" {
				conn = x.accept()
			}
			x.want("then asked", conn.nextTarget(), c.next)
		})
	}
}
