package fakes

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestClient checks that ConnPool reuses, replaces and limits connections. The steps use one pool; each begins after the
// deadlines of the step before.
func TestClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemory()
		p, err := NewServer(n, ServerOptions{Cores: 9, Default: Service{50 * time.Millisecond, true, 0}})
		ok(t, err)
		defer p.Close()
		c := ConnPool{Dial: n.Dial, Address: p.Address(), MaxConns: 2, Read: readResponse}
		for _, step := range []struct {
			name     string
			before   func() // runs before the requests are sent
			requests int    // number of requests, sent 10 ms apart
			want     string // for each request: number of its connection, result, and whether it was sent again
		}{
			{"third request waits", func() {}, 3, "1 served false, 2 served false, 1 served false"},
			{"most recently used connection is reused", func() {}, 1, "1 served false"},
			{"sent again when the reused connection was closed", p.ResetOpenConns, 1, "3 served true"},
			{"closed idle connections are not reused", func() { ok(t, p.Restart("s-2")) }, 1, "4 served false"},
			{
				"slot of a closed connection passes to a waiting request", func() { time.AfterFunc(25*time.Millisecond, p.Kill) }, 3,
				"4 unreachable true, 5 lost false, 0 unreachable false",
			},
			{
				"not sent again on a new connection", func() { ok(t, p.Start("")); p.SetBehaviour(Behaviour{ResetAll: true}) }, 1,
				"6 lost false",
			},
		} {
			step.before()
			time.Sleep(time.Millisecond)
			got := make([]string, step.requests)
			var all sync.WaitGroup
			for i := range got {
				all.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					due := time.Now()
					x := c.Send(func() []byte { return []byte("GET /tile/1 HTTP/1.1\r\n" + headerID + ": x\r\n\r\n") },
						due.Add(time.Second))
					if got[i] = fmt.Sprint(x.Conn, " ", x.Result, " ", x.Resent); x.Resent && !x.SentAt.Equal(due) {
						t.Errorf("%s: sent %s after it was due", step.name, x.SentAt.Sub(due))
					}
				})
			}
			all.Wait()
			if got := strings.Join(got, ", "); got != step.want {
				t.Errorf("%s: got %q, want %q", step.name, got, step.want)
			}
			time.Sleep(2 * time.Second)
		}
		if used := c.Close(); used.Opened != 6 || used.Waits != 3 || used.LongestWait.Round(time.Millisecond) != 31e6 {
			t.Errorf("%+v", used)
		}
	})
}
