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

// fixed chooses any idle connection, and pauses there for so long before the last byte.
type fixed time.Duration

func (fixed) mayReuse(connUse) bool { return true }

func (f fixed) pauseBeforeLastByte(u connUse) time.Duration {
	if !u.isKept() {
		return 0
	}
	return time.Duration(f)
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// An attempt that finds its reused connection dead before its last byte is written can't have run, and goes on a new one, once. After
// the last byte only a probe does: whether to send a request again is the policy's decision.
func TestDeadConnections(t *testing.T) {
	const hold = 5 * time.Millisecond
	type seen struct {
		Outcome  outcome.Kind
		Dead     bool
		Complete int // messages that the server got with their last byte, the first one included
	}
	for name, c := range map[string]struct {
		hold     time.Duration
		probe    bool
		early    bool // the server ends the connection, before the last byte if that is held back
		stop     time.Duration
		leave    bool          // what happens at stop is that the client leaves,
		withdraw bool          // or that the attempt is withdrawn,
		gone     bool          // or that the client leaves and nobody reports it
		expires  time.Duration // after its start; 0 = never
		late     bool          // a new connection takes a second to come up
		want     seen
	}{
		"alive":                         {hold: hold, want: seen{Outcome: outcome.Served, Complete: 2}},
		"dead before the last":          {hold: hold, early: true, want: seen{Outcome: outcome.Served, Dead: true, Complete: 2}},
		"dead after it":                 {hold: 0, early: true, want: seen{Outcome: outcome.ResetByPeer, Complete: 2}},
		"a probe, dead after it":        {probe: true, early: true, want: seen{Outcome: outcome.Served, Dead: true, Complete: 3}},
		"stopped while held back":       {hold: hold, stop: hold / 2, want: seen{Outcome: outcome.PartlyWritten, Complete: 1}},
		"client leaves while held back": {hold: hold, stop: hold / 2, leave: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"withdrawn while held back":     {hold: hold, stop: hold / 2, withdraw: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"client gone while held back":   {hold: hold, stop: hold / 2, gone: true, want: seen{Outcome: outcome.Withdrawn, Complete: 1}},
		"dead, client gone on the new": {
			hold: hold, early: true, stop: time.Second / 2, gone: true, late: true,
			want: seen{Outcome: outcome.Withdrawn, Dead: true, Complete: 1},
		},
		"expired while held back": {hold: hold, expires: hold / 2, want: seen{Outcome: outcome.Expired, Complete: 1}},
		"expired after that":      {hold: hold, expires: 2 * hold, want: seen{Outcome: outcome.Served, Complete: 2}},
		"dead, expired on the new": {
			hold: hold, early: true, expires: time.Second / 2, late: true,
			want: seen{Outcome: outcome.Expired, Dead: true, Complete: 1},
		},
		"stopped after that":       {hold: hold, stop: 2 * hold, want: seen{Outcome: outcome.TimedOut, Complete: 2}},
		"stopped, not held back":   {stop: hold / 2, want: seen{Outcome: outcome.TimedOut, Complete: 2}},
		"dead, stopped on the new": {hold: hold, early: true, stop: 2 * hold, want: seen{Outcome: outcome.TimedOut, Dead: true, Complete: 2}},
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
				client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{Connect: time.Second, ConnIdle: time.Hour}})
				if err != nil {
					t.Fatal(err)
				}
				at := client.Endpoint("p1", "p1:1").(*endpoint)
				results := make(chan upstream.Result, 1)
				got := seen{}
				read := func(nc net.Conn, n int) bool {
					nc.SetReadDeadline(time.Now().Add(4 * hold))
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
					task := upstream.AttemptOptions{OnEnd: func(r upstream.Result) { results <- r }}
					if !c.probe {
						task.Request = &request.Request{
							ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x"),
							ClientGone: gone.Load,
						}
						task.Timeout = time.Second
					}
					if c.expires > 0 {
						task.Expires = time.Now().Add(c.expires)
					}
					one := at.encode(task)
					client.start(one, fixed(c.hold))
					return one
				}
				expires := c.expires
				c.expires = 0
				first := start()
				c.expires = expires
				kept := <-opened
				readComplete(kept, first.message)
				write(kept, answer)
				<-results
				time.Sleep(time.Second)

				second := start()
				if c.stop > 0 {
					go func() {
						time.Sleep(c.stop)
						give, why := second.Cancel, outcome.TimedOut
						switch {
						case c.gone:
							gone.Store(true)
							return
						case c.leave:
							second.request.MarkClientGone()
							return
						case c.withdraw:
							give, why = second.Withdraw, outcome.Cancelled
						}
						if how, stopped := give(why); stopped {
							results <- upstream.Result{Outcome: how}
						}
					}()
				}
				if c.early && c.hold > 0 {
					read(kept, len(second.message)-1)
				} else {
					readComplete(kept, second.message)
				}
				if c.early {
					kept.Close()
					synctest.Wait()
					select {
					case again := <-opened:
						if c.late {
							time.Sleep(time.Second)
						}
						readComplete(again, second.message)
						if c.stop == 0 || c.gone {
							write(again, answer)
						}
					default:
					}
				} else if c.stop == 0 || c.gone {
					write(kept, answer)
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
