package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// deadlineSlack is by how much the deadline sent to a server may differ from what the client still waits.
const deadlineSlack = 150 * time.Millisecond

// The deadline that an attempt sends to its server is what the client still waits as the request is written, however long the dial
// took and however many connections were found dead before.
func TestDeadlineSentIsWhatIsLeft(t *testing.T) {
	const timeout = 2 * time.Second
	for name, row := range map[string]struct {
		late time.Duration // until a connection is up
		dead bool          // the first one ends before the request's last byte
	}{
		"connection up at once":       {0, false},
		"connection late":             {900 * time.Millisecond, false},
		"dead connection, then late":  {140 * time.Millisecond, true},
		"dead connection, then later": {700 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				serverConns := make(chan net.Conn, 4)
				late := time.Duration(0)
				budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
					time.Sleep(late)
					clientConn, serverConn := net.Pipe()
					serverConns <- serverConn
					return clientConn, nil
				})
				client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{Connect: time.Second, ConnIdle: time.Hour}})
				if err != nil {
					t.Fatal(err)
				}
				results := make(chan upstream.Result, 2)
				at := client.Endpoint("p1", "p1:1").(*endpoint)
				begin := func(hold time.Duration) time.Time {
					client.start(at.encode(upstream.AttemptOptions{
						Timeout: timeout, OnEnd: func(r upstream.Result) { results <- r },
						Request: &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x")},
					}), fixed(hold))
					return time.Now()
				}
				if row.dead {
					begin(0)
					first := <-serverConns
					readDeadline(t, first)
					if _, err := first.Write([]byte(answer)); err != nil {
						t.Error(err)
					}
					<-results
					synctest.Wait()
					late = row.late
					began := begin(100 * time.Millisecond)
					go func() { _, _ = first.Read(make([]byte, 1<<10)) }()
					time.Sleep(50 * time.Millisecond)
					first.Close()
					checkDeadline(t, <-serverConns, began, timeout)
				} else {
					late = row.late
					began := begin(0)
					checkDeadline(t, <-serverConns, began, timeout)
				}
				cancel()
				client.Wait()
			})
		})
	}
}

// recordViolations reads a request and compares what it tells with what is left of the client's timeout.
func checkDeadline(t *testing.T, serverConn net.Conn, began time.Time, timeout time.Duration) {
	t.Helper()
	sent := readDeadline(t, serverConn)
	if left := timeout - time.Since(began); sent > left+deadlineSlack || sent < left-deadlineSlack {
		t.Errorf("the server is given %s, the client waits for another %s", sent, left)
	}
}

// readDeadline reads a request and returns the deadline in it.
func readDeadline(t *testing.T, serverConn net.Conn) time.Duration {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(serverConn))
	if err != nil {
		t.Fatal(err)
	}
	seconds, err := strconv.ParseFloat(r.Header.Get(http1.HeaderDeadline), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}
