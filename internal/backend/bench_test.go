package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"strings"
	"testing"
	"time"
)

// BenchmarkAttempt measures an attempt on a kept loopback connection, with its message in one piece or in two, whose consumer is
// looked for or not.
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
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, answer)
				}
			}()
		}
	}()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer theirs.Close()
	consumer := connlimit.NewBudget(1, nil).Adopt(theirs, connlimit.Inward)
	for _, size := range []int{1, 2 * chunkSize} {
		for _, gone := range []func() bool{nil, consumer.Left} {
			b.Run(fmt.Sprintf("pieces=%d/look=%t", 1+size/chunkSize/2, gone != nil), func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				v, err := New(ctx, connlimit.NewBudget(8, connlimit.TCP), Settings{Figures: Figures{Connect: time.Minute, ConnIdle: time.Hour}})
				if err != nil {
					b.Fatal(err)
				}
				at, ended, body := v.Endpoint("p", l.Addr().String()).(*endpoint), make(chan upstream.Result), []byte(strings.Repeat("x", size))
				b.ReportAllocs()
				for b.Loop() {
					inv := &request.Request{ID: "a", Method: "POST", Target: "/order/1", Body: body, ClientGone: gone}
					v.start(at.encode(upstream.AttemptOptions{Request: inv, Timeout: time.Minute, OnEnd: func(r upstream.Result) { ended <- r }}), fixed(0))
					if r := <-ended; r.Outcome != outcome.Served {
						b.Fatal(r.Outcome)
					}
				}
				cancel()
				v.Wait()
			})
		}
	}
}
