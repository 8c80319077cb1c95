package backend

import (
	"context"
	"net"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"testing"
	"testing/synctest"
	"time"
)

// A kept connection is offered a call when its time is over and its goroutine, woken late, has not seen to that: its provider may
// be closing it just then, so that the call goes on a new one.
func TestOfferedWhenItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var peers []net.Conn
		budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
			mine, theirs := net.Pipe()
			peers = append(peers, theirs)
			return mine, nil
		})
		v, err := New(ctx, budget, Settings{Figures: Figures{Connect: time.Second, ConnIdle: time.Hour}})
		if err != nil {
			t.Fatal(err)
		}
		at, results := v.Endpoint("p1", "p1:1").(*endpoint), make(chan upstream.Result, 2)
		for n := range 2 {
			one := at.encode(upstream.AttemptOptions{
				Timeout: time.Second, OnEnd: func(r upstream.Result) { results <- r },
				Request: &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x")},
			})
			v.start(one, fixed(0))
			synctest.Wait()
			if len(peers) != n+1 {
				t.Fatalf("call %d: %d connections", n, len(peers))
			}
			if _, err := peers[n].Read(make([]byte, len(one.message))); err != nil {
				t.Fatalf("call %d: %v", n, err)
			}
			peers[n].Write([]byte(answer))
			<-results
			synctest.Wait()
			if n == 0 {
				at.idle[0].idleUntil = time.Now()
			}
		}
		cancel()
		v.Wait()
	})
}
