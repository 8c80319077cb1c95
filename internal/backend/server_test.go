package backend

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// An attempt is assigned to an idle connection after the idle timeout, when the connection's goroutine was scheduled late and
// has not closed it yet. The server may be closing the connection at the same time, so the attempt is sent on a new one.
func TestIdleConnectionOfferedPastItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var serverConns []net.Conn
		budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			serverConns = append(serverConns, serverConn)
			return clientConn, nil
		})
		client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{ConnectTimeout: time.Second, ServerIdleTimeout: time.Hour}})
		if err != nil {
			t.Fatal(err)
		}
		server, results := client.Endpoint("p1", "p1:1").(*endpoint), make(chan upstream.Result, 2)
		for n := range 2 {
			a := server.encode(upstream.AttemptOptions{
				Timeout: time.Second, OnEnd: func(r upstream.Result) { results <- r },
				Request: &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x")},
			})
			client.start(a, fixedPause(0))
			synctest.Wait()
			if len(serverConns) != n+1 {
				t.Fatalf("attempt %d: %d connections", n, len(serverConns))
			}
			if _, err := serverConns[n].Read(make([]byte, len(a.message))); err != nil {
				t.Fatalf("attempt %d: %v", n, err)
			}
			if _, err := serverConns[n].Write([]byte(okResponse)); err != nil {
				t.Fatal(err)
			}
			<-results
			synctest.Wait()
			if n == 0 {
				server.idle[0].idleUntil = time.Now()
			}
		}
		cancel()
		client.Wait()
	})
}
