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

// deadlineSlack is by how much the timeout sent to a server may differ from the time that the client still waits.
const deadlineSlack = 150 * time.Millisecond

// The timeout that an attempt sends to its server is the time that the client still waits when the request is written. It is
// reduced by the time for dialing, and by the time spent on an earlier connection that was found dead.
func TestDeadlineSentIsWhatIsLeft(t *testing.T) {
	const timeout = 2 * time.Second
	for name, row := range map[string]struct {
		late time.Duration // how long dialing takes for the attempt that is checked
		dead bool          // the first connection is closed before the request's last byte
	}{
		"fast dial":                         {0, false},
		"slow dial":                         {900 * time.Millisecond, false},
		"dead connection, then slow dial":   {140 * time.Millisecond, true},
		"dead connection, then slower dial": {700 * time.Millisecond, true},
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
				client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{ConnectTimeout: time.Second, ServerIdleTimeout: time.Hour}})
				if err != nil {
					t.Fatal(err)
				}
				results := make(chan upstream.Result, 2)
				server := client.Endpoint("p1", "p1:1").(*endpoint)
				begin := func(pause time.Duration) time.Time {
					client.start(server.encode(upstream.AttemptOptions{
						Timeout: timeout, OnEnd: func(r upstream.Result) { results <- r },
						Request: &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x")},
					}), fixedPause(pause))
					return time.Now()
				}
				if row.dead {
					begin(0)
					first := <-serverConns
					readDeadline(t, first)
					if _, err := first.Write([]byte(okResponse)); err != nil {
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

// checkDeadline reads a request and compares the timeout in it with the time that the client still waits.
func checkDeadline(t *testing.T, serverConn net.Conn, began time.Time, timeout time.Duration) {
	t.Helper()
	sent := readDeadline(t, serverConn)
	if left := timeout - time.Since(began); sent > left+deadlineSlack || sent < left-deadlineSlack {
		t.Errorf("the timeout sent to the server is %s, the client still waits %s", sent, left)
	}
}

// readDeadline reads a request and returns the timeout in its deadline header.
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
