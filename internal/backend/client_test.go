package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/keepalive"
	"plankrouter/internal/upstream"
	"plankrouter/internal/upstream/upstreamtest"
)

func TestClient(t *testing.T) {
	upstreamtest.Test(t, upstreamtest.Harness{
		New: func(ctx context.Context, dial func(context.Context, string) (net.Conn, error)) (upstream.Upstream, func()) {
			client, err := New(ctx, connlimit.NewBudget(8, dial), Settings{ReloadableSettings: ReloadableSettings{
				ConnectTimeout: time.Second, ServerIdleTimeout: time.Hour,
				RetryCosts: []keepalive.AttemptCost{{NonIdempotent: true, PriorityWeight: 1}},
			}})
			if err != nil {
				t.Fatal(err)
			}
			return client, client.Wait
		},
		Read: func(c net.Conn) (string, error) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, err = io.ReadAll(r.Body)
			}
			if err != nil {
				return "", err
			}
			return r.Header.Get(http1.HeaderID), nil
		},
		Served:   []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
		Failed:   []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
		Declined: []byte("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"),
		Garbage:  []byte("what?\r\n\r\n"),
		Load:     []byte("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"active\":3,\"avg_ms\":5}"),
	})
}
