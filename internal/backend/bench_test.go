package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// BenchmarkAttempt measures an attempt on a reused loopback connection, with its message written in one piece or in two, with
// and without checks whether its client is gone.
func BenchmarkAttempt(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if _, err := io.WriteString(c, okResponse); err != nil {
						return
					}
				}
			}()
		}
	}()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer clientConn.Close()
	clientSocket := connlimit.NewBudget(1, nil).Adopt(clientConn, connlimit.Inbound)
	for _, size := range []int{1, 2 * chunkSize} {
		for _, gone := range []func() bool{nil, clientSocket.HasPeerClosed} {
			b.Run(fmt.Sprintf("pieces=%d/look=%t", 1+size/chunkSize/2, gone != nil), func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				client, err := New(ctx, connlimit.NewBudget(8, connlimit.DialTCP), Settings{ReloadableSettings: ReloadableSettings{ConnectTimeout: time.Minute, ServerIdleTimeout: time.Hour}})
				if err != nil {
					b.Fatal(err)
				}
				server := client.Endpoint("s", l.Addr().String()).(*endpoint)
				ended := make(chan upstream.Result)
				body := []byte(strings.Repeat("x", size))
				b.ReportAllocs()
				for b.Loop() {
					r := &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: body, ClientGone: gone}
					client.start(server.encode(upstream.AttemptOptions{Request: r, Timeout: time.Minute, OnEnd: func(r upstream.Result) { ended <- r }}), fixedPause(0))
					if result := <-ended; result.Outcome != outcome.Served {
						b.Fatal(result.Outcome)
					}
				}
				cancel()
				client.Wait()
			})
		}
	}
}
