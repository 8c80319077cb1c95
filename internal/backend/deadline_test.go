package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// deadlineSlack is what the deadline told to a server may exceed what the client still waits.
const deadlineSlack = 150 * time.Millisecond

// The deadline that an attempt tells its server is what the client still waits as the request is written, however long its
// connection took to come up and however many were found dead before.
func TestDeadlineToldIsWhatIsLeft(t *testing.T) {
	const patience = 2 * time.Second
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
				peers := make(chan net.Conn, 4)
				late := time.Duration(0)
				budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
					time.Sleep(late)
					mine, theirs := net.Pipe()
					peers <- theirs
					return mine, nil
				})
				v, err := New(ctx, budget, Settings{Figures: Figures{Connect: time.Second, ConnIdle: time.Hour}})
				if err != nil {
					t.Fatal(err)
				}
				results := make(chan upstream.Result, 2)
				at := v.Endpoint("p1", "p1:1").(*endpoint)
				begin := func(hold time.Duration) time.Time {
					v.start(at.encode(upstream.AttemptOptions{
						Timeout: patience, OnEnd: func(r upstream.Result) { results <- r },
						Request: &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: []byte("x")},
					}), fixed(hold))
					return time.Now()
				}
				if row.dead {
					begin(0)
					first := <-peers
					readDeadline(t, first)
					first.Write([]byte(answer))
					<-results
					synctest.Wait()
					late = row.late
					began := begin(100 * time.Millisecond)
					go first.Read(make([]byte, 1<<10))
					time.Sleep(50 * time.Millisecond)
					first.Close()
					check(t, <-peers, began, patience)
				} else {
					late = row.late
					began := begin(0)
					check(t, <-peers, began, patience)
				}
				cancel()
				v.Wait()
			})
		})
	}
}

// recordViolations reads a request and compares what it tells with what is left of the client's patience.
func check(t *testing.T, peer net.Conn, began time.Time, patience time.Duration) {
	t.Helper()
	told := readDeadline(t, peer)
	if left := patience - time.Since(began); told > left+deadlineSlack || told < left-deadlineSlack {
		t.Errorf("the server is told %s, the client waits for another %s", told, left)
	}
}

// readDeadline reads a request and returns the deadline in it.
func readDeadline(t *testing.T, peer net.Conn) time.Duration {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(peer))
	if err != nil {
		t.Fatal(err)
	}
	seconds, err := strconv.ParseFloat(r.Header.Get(http1.HeaderDeadline), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}
