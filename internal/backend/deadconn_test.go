package backend

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// fixedPause is a connChooser that reuses any idle connection. On a reused connection it holds the last byte back for a fixed
// time, on a new one not at all.
type fixedPause time.Duration

func (fixedPause) mayReuse(connUse) bool { return true }

func (f fixedPause) pauseBeforeLastByte(u connUse) time.Duration {
	if !u.isReused() {
		return 0
	}
	return time.Duration(f)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// An attempt that finds its reused connection dead before its last byte is written can't have run, and is sent on a new one,
// once. After the last byte only a probe is sent again: whether to retry a request is the policy's decision.
func TestDeadConnections(t *testing.T) {
	const pause = 5 * time.Millisecond
	type seen struct {
		Outcome  outcome.Kind
		Dead     bool
		Complete int // messages that the server received with their last byte, the first one included
	}
	for name, c := range map[string]struct {
		pause        time.Duration
		probe        bool
		serverCloses bool          // the server closes the connection, before the last byte if that is held back
		stop         time.Duration // when the second attempt is stopped, measured from its start; 0 = never
		leave        bool          // at stop the client is reported as gone; without leave, withdraw and gone the attempt times out
		withdraw     bool          // at stop the attempt is withdrawn
		gone         bool          // at stop the client leaves, which is not reported
		expires      time.Duration // when the second attempt expires, measured from its start; 0 = never
		late         bool          // a connection after the first takes a second to be established
		want         seen
	}{
		"alive":                           {pause: pause, want: seen{Outcome: outcome.Served, Complete: 2}},
		"dead before the last byte":       {pause: pause, serverCloses: true, want: seen{Outcome: outcome.Served, Dead: true, Complete: 2}},
		"dead after the last byte":        {pause: 0, serverCloses: true, want: seen{Outcome: outcome.ResetByPeer, Complete: 2}},
		"probe, dead after the last byte": {probe: true, serverCloses: true, want: seen{Outcome: outcome.Served, Dead: true, Complete: 3}},
		"timed out while held back":       {pause: pause, stop: pause / 2, want: seen{Outcome: outcome.PartlyWritten, Complete: 1}},
		"client leaves while held back":   {pause: pause, stop: pause / 2, leave: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"withdrawn while held back":       {pause: pause, stop: pause / 2, withdraw: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"client gone while held back":     {pause: pause, stop: pause / 2, gone: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"dead, client gone on the new connection": {
			pause: pause, serverCloses: true, stop: time.Second / 2, gone: true, late: true,
			want: seen{Outcome: outcome.Withdrawn, Dead: true, Complete: 1},
		},
		"expired while held back":     {pause: pause, expires: pause / 2, want: seen{Outcome: outcome.Expired, Complete: 1}},
		"expired after the last byte": {pause: pause, expires: 2 * pause, want: seen{Outcome: outcome.Served, Complete: 2}},
		"dead, expired on the new connection": {
			pause: pause, serverCloses: true, expires: time.Second / 2, late: true,
			want: seen{Outcome: outcome.Expired, Dead: true, Complete: 1},
		},
		"timed out after the last byte":         {pause: pause, stop: 2 * pause, want: seen{Outcome: outcome.TimedOut, Complete: 2}},
		"timed out, not held back":              {stop: pause / 2, want: seen{Outcome: outcome.TimedOut, Complete: 2}},
		"dead, timed out on the new connection": {pause: pause, serverCloses: true, stop: 2 * pause, want: seen{Outcome: outcome.TimedOut, Dead: true, Complete: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				opened, opens := make(chan net.Conn, 4), atomic.Int32{}
				var gone atomic.Bool
				budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
					clientConn, serverConn := net.Pipe()
					if opened <- serverConn; opens.Add(1) > 1 && c.late {
						time.Sleep(time.Second)
					}
					return clientConn, nil
				})
				client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{ConnectTimeout: time.Second, ServerIdleTimeout: time.Hour}})
				if err != nil {
					t.Fatal(err)
				}
				server := client.Endpoint("p1", "p1:1").(*endpoint)
				results := make(chan upstream.Result, 1)
				got := seen{}
				read := func(nc net.Conn, n int) bool {
					nc.SetReadDeadline(time.Now().Add(4 * pause))
					_, err := io.ReadFull(nc, make([]byte, n))
					return err == nil
				}
				write := func(nc net.Conn, text string) { // fails where the client has closed the connection
					_, _ = nc.Write([]byte(text))
				}
				readComplete := func(nc net.Conn, message []byte) {
					if read(nc, len(message)) {
						got.Complete++
					}
				}
				start := func() *attempt {
					options := upstream.AttemptOptions{OnEnd: func(r upstream.Result) { results <- r }}
					if !c.probe {
						options.Request = &request.Request{
							ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x"),
							ClientGone: gone.Load,
						}
						options.Timeout = time.Second
					}
					if c.expires > 0 {
						options.Expires = time.Now().Add(c.expires)
					}
					a := server.encode(options)
					client.start(a, fixedPause(c.pause))
					return a
				}
				expires := c.expires
				c.expires = 0
				first := start()
				c.expires = expires
				reused := <-opened
				readComplete(reused, first.message)
				write(reused, okResponse)
				<-results
				time.Sleep(time.Second)

				second := start()
				if c.stop > 0 {
					go func() {
						time.Sleep(c.stop)
						end, reason := second.Cancel, outcome.TimedOut
						switch {
						case c.gone:
							gone.Store(true)
							return
						case c.leave:
							second.request.MarkClientGone()
							return
						case c.withdraw:
							end, reason = second.Withdraw, outcome.Cancelled
						}
						if kind, stopped := end(reason); stopped {
							results <- upstream.Result{Outcome: kind}
						}
					}()
				}
				if c.serverCloses && c.pause > 0 {
					read(reused, len(second.message)-1)
				} else {
					readComplete(reused, second.message)
				}
				if c.serverCloses {
					reused.Close()
					synctest.Wait()
					select {
					case replacement := <-opened:
						if c.late {
							time.Sleep(time.Second)
						}
						readComplete(replacement, second.message)
						if c.stop == 0 || c.gone {
							write(replacement, okResponse)
						}
					default:
					}
				} else if c.stop == 0 || c.gone {
					write(reused, okResponse)
				}
				r := <-results
				got.Outcome, got.Dead = r.Outcome, second.deadConn != nil
				if got != c.want {
					t.Errorf("%+v, want %+v", got, c.want)
				}
				cancel()
				client.Wait()
			})
		})
	}
}
