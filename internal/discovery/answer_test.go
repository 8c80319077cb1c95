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

// A response that stalls at any point times out as early as one that never begins, and the complete list is requested again
// within the drain grace. A response that arrives slowly is used if it is complete within maxTransferTime.
func TestStallWithinResponse(t *testing.T) {
	const grace, head = 750 * time.Millisecond, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
	const chunked, interim = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"
	list := listJSON(7, true, "a=SERVING")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(list), list)
	for name, c := range map[string]struct {
		pieces []string // 300 ms apart
		used   bool
	}{
		"no byte":                            {nil, false},
		"one byte":                           {[]string{"H"}, false},
		"in the header":                      {[]string{"HTTP/1.1 200 OK\r\nContent-", "Length:"}, false},
		"an interim response":                {[]string{interim}, false},
		"in an interim response":             {[]string{interim[:9]}, false},
		"a header after an interim response": {[]string{interim + head}, false},
		"a header":                           {[]string{head}, false},
		"in the body":                        {[]string{head, `{"revision"`, ":7"}, false},
		"in a chunk":                         {[]string{chunked + chunk[:9]}, false},
		"between chunks":                     {[]string{chunked, chunk}, false},
		"in the last chunk":                  {[]string{chunked + chunk, "0\r\n"}, false},
		"body until the connection closes":   {[]string{"HTTP/1.1 200 OK\r\n\r\n" + list}, false},
		"slow":                               {strings.SplitAfter(okResponse(list), ":"), true},
		"slow and in chunks":                 {[]string{chunked, chunk[:1], chunk[1:9], chunk[9:60], chunk[60:], "0\r\n", "\r\n"}, true},
		"slow after an interim response":     {[]string{interim + "HTTP", okResponse(list)[4:50], okResponse(list)[50:]}, true},
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
						t.Errorf("then requested %q: %q", target, r.logged)
					}
					return
				}
				if target := d.accept().nextTarget(); target != "" || time.Since(at) > 460*time.Millisecond || len(r.phases) > 0 {
					t.Errorf("requested %q %s later, list %v", target, time.Since(at), r.phases)
				}
			})
		})
	}
}

// A response that never ends delays the watch by at most maxTransferTime. A connection that is never established delays it by
// at most the dial timeout and the retry delay.
func TestEndlessResponseAndHangingDial(t *testing.T) {
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
		firstDial, secondDial := <-dials, <-dials
		<-dials
		if after, within := secondDial.Sub(firstDial), (<-dials).Sub(secondDial); after < maxTransferTime || after > maxTransferTime+100*time.Millisecond ||
			within > 1100*time.Millisecond {
			t.Errorf("dialed again after %s, and twice within %s", after, within)
		}
	})
}

// The validity of a list counts from its first byte, however slowly the rest arrives.
func TestSlowResponseIsDatedByFirstByte(t *testing.T) {
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
		for i := range 6 { // each within the longest pause, in total longer than the wait
			time.Sleep(500 * time.Millisecond)
			c.write(changes[i*15 : i*15+15])
		}
		c.write(changes[90:])
		r.wait(time.Millisecond)
		if validFor := listUntil.Sub(polledAt); validFor > 4*time.Second || validFor < 3900*time.Millisecond || r.phases["a"] != endpoints.Draining {
			t.Errorf("valid until %s after the poll that returned %v", validFor, r.phases)
		}
	})
}

// On a real socket, too, a response that stalls times out long before maxTransferTime is over.
func TestStallOnSocket(t *testing.T) {
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
	x.want("requested again", x.accept().nextTarget(), "")
	if took := time.Since(at); took > maxTransferTime/2 {
		t.Errorf("requested again after %s", took)
	}
}

// A process that starts with a list of revision 50 uses the first response if it is complete, at any revision, or if it has
// newer changes. If the revision is to be ignored, or the changes are older, it requests the complete list.
func TestFirstList(t *testing.T) {
	const at50 = "?index=50&wait=60000"
	for name, c := range map[string]struct {
		ignoreRevision           bool
		target, response, update string
		next                     string // target of the next poll; "" = the complete list, on a new connection
	}{
		"newer changes":                   {false, at50, listJSON(51, false, "b=DRAINING"), "51 map[b:DRAINING]", "?index=51&wait=60000"},
		"the present revision":            {false, at50, listJSON(50, false), "", at50},
		"older changes":                   {false, at50, listJSON(2, false, "b=SERVING"), "", ""},
		"an older list":                   {false, at50, listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an older list, revision ignored": {true, "", listJSON(2, true, "c=SERVING"), "2 map[c:SERVING]", "?index=2&wait=60000"},
		"an empty list, revision ignored": {true, "", listJSON(2, true), "2 map[]", "?index=2&wait=60000"},
		"newer changes, revision ignored": {true, "", listJSON(51, false, "b=DRAINING"), "", ""},
		"no list, revision ignored":       {true, "", `{"revision":51,"complete":true}`, "", ""},
		"a truncated list":                {true, "", listJSON(51, true, "b=SERVING")[:40], "", ""},
		"a revision alone":                {false, at50, `{"revision":50}`, "", at50},
		"an empty object":                 {false, at50, `{}`, "", ""},
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
			x.want("requested", conn.nextTarget(), c.target)
			if conn.write(okResponse(c.response)); c.update != "" {
				x.wantUpdate(c.update)
				x.proceed <- struct{}{}
			}
			if c.next == "" {
				conn = x.accept()
			}
			x.want("then requested", conn.nextTarget(), c.next)
		})
	}
}
