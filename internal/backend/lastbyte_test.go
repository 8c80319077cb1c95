package backend

import (
	"context"
	"io"
	"net"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"plankrouter/internal/upstream"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// body is what a consumer still sends.
type body struct{ *strings.Reader }

func (b body) Length() int64  { return int64(b.Len()) }
func (b body) Consumed() bool { return b.Len() < int(b.Size()) }

func (b body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == nil && b.Len() == 0 {
		err = io.EOF
	}
	return n, err
}

// A provider reads a long request so slowly that something has come by the time at which all but its last byte is written: that
// byte is not written, and what the provider has got can't run.
func TestLastByteOfLongRequest(t *testing.T) {
	const size = 20 << 10
	for name, c := range map[string]struct {
		flows   bool          // the consumer still sends it
		expires time.Duration // after its start; 0 = never
		gone    time.Duration // after that its consumer is gone, and nobody is told; 0 = never
		want    outcome.Kind
	}{
		"here, in time":    {want: outcome.Served, expires: 2 * time.Second},
		"here, expired":    {want: outcome.Expired, expires: time.Second / 2},
		"flowing, in time": {want: outcome.Served, flows: true, expires: 2 * time.Second},
		"flowing, expired": {want: outcome.Expired, flows: true, expires: time.Second / 2},
		"here, gone":       {want: outcome.Withdrawn, gone: time.Second / 2},
		"flowing, gone":    {want: outcome.Withdrawn, flows: true, gone: time.Second / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				mine, theirs := net.Pipe()
				budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) { return mine, nil })
				v, err := New(ctx, budget, Settings{
					Figures: Figures{Connect: time.Second, ConnIdle: time.Hour},
					Bounds:  streaming.New(1<<20, 8),
				})
				if err != nil {
					t.Fatal(err)
				}
				inv := &request.Request{ID: "a", Method: "POST", Target: "/order/1"}
				if content := strings.Repeat("x", size); c.flows {
					inv.Remainder = body{strings.NewReader(content)}
				} else {
					inv.Body = []byte(content)
				}
				if began := time.Now(); c.gone > 0 {
					inv.ClientGone = func() bool { return time.Since(began) > c.gone }
				}
				results := make(chan upstream.Result, 1)
				task := upstream.AttemptOptions{
					Request: inv, Timeout: time.Minute, OnBodySent: func() {},
					OnEnd: func(r upstream.Result) { results <- r },
				}
				if c.expires > 0 {
					task.Expires = time.Now().Add(c.expires)
				}
				one := v.Endpoint("p1", "p1:1").(*endpoint).encode(task)
				v.start(one, fixed(0))
				head := len(one.message) - len(inv.Body)
				whole := sync.OnceValue(func() bool {
					io.ReadFull(theirs, make([]byte, head+size/2))
					time.Sleep(time.Second)
					io.ReadFull(theirs, make([]byte, size-size/2-1))
					theirs.SetReadDeadline(time.Now().Add(time.Second))
					_, err := io.ReadFull(theirs, make([]byte, 1))
					return err == nil
				})()
				if whole {
					theirs.Write([]byte(answer))
				}
				if r := <-results; r.Outcome != c.want || whole != (c.want == outcome.Served) {
					t.Errorf("%s, whole=%t, want %s", r.Outcome, whole, c.want)
				}
				cancel()
				v.Wait()
			})
		})
	}
}
