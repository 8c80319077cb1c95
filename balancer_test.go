package plankrouter_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

const ms = time.Millisecond

// newFleet starts n simulated servers on an in-memory network, and a balancer over them. It runs in a synctest bubble.
func newFleet(t *testing.T, n int, edit func(*plankrouter.Options)) (*fakes.Fleet, *plankrouter.Balancer) {
	t.Helper()
	net := fakes.NewMemory()
	f, err := fakes.NewFleet(net, n, fakes.ServerOptions{
		Cores: 4, Queue: 16, Seed: 1,
		Default: fakes.Service{Mean: 20 * ms, Fixed: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	o := plankrouter.Options{
		Seed: 1, ConnectionLimit: plankrouter.NewConnectionLimit(64, net.Dial), Probes: true,
		Classes: []plankrouter.Class{
			{Name: "tile", LatencyObjective: 750 * ms, Deadline: 2500 * ms},
			{Name: "order", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 5, Idempotency: plankrouter.NonIdempotent},
		},
	}
	for _, p := range f.Servers {
		o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{ID: p.ID(), Address: p.Address()})
	}
	if edit != nil {
		edit(&o)
	}
	b, err := plankrouter.New(o)
	if err != nil {
		t.Fatal(err)
	}
	return f, b
}

func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newFleet(t, 3, nil)
		defer f.Close()
		for i := range 30 {
			r, err := b.Do(t.Context(), &plankrouter.Request{Class: "tile", ID: fmt.Sprint("t", i), Target: "/tile/roma?z=3"})
			if err != nil || r.Status != 200 || !strings.HasPrefix(string(r.Body), fmt.Sprint("t", i)) {
				t.Fatalf("%+v, %v", r, err)
			}
		}
		client := &http.Client{Transport: &plankrouter.Transport{Balancer: b, Class: "order"}}
		resp, err := client.Post("http://orders.internal/order/7", "text/plain", strings.NewReader("print"))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v, %v", resp, err)
		}
		if err := b.Close(t.Context()); err != nil {
			t.Error(err)
		}
		if _, err := b.Do(t.Context(), &plankrouter.Request{}); !errors.Is(err, plankrouter.ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
		if s := b.Stats(); s.Accepted != 31 || s.Served != 31 || s.Connections != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// A request whose context ends while its connection is being established is not sent, even if the dispatcher has not yet
// handled the end of the context.
func TestCancelledJustBeforeTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var bytesReceived atomic.Int32
		b, err := plankrouter.New(plankrouter.Options{
			Endpoints: []plankrouter.Endpoint{{Address: "s:1"}},
			ConnectionLimit: plankrouter.NewConnectionLimit(8, func(context.Context, string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				go func() {
					n, _ := serverEnd.Read(make([]byte, 1))
					bytesReceived.Add(int32(n))
				}()
				cancel()
				return clientEnd, nil
			}),
		})
		if err != nil {
			t.Fatal(err)
		}
		var cancelled *plankrouter.CancelledError
		if _, err := b.Do(ctx, &plankrouter.Request{}); !errors.As(err, &cancelled) {
			t.Error(err)
		}
		synctest.Wait()
		if bytesReceived.Load() > 0 {
			t.Error("the request was sent")
		}
		if err := b.Close(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// A call whose context ends returns at once, and its error says whether the request may have run.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newFleet(t, 1, func(o *plankrouter.Options) { o.Probes = false })
		defer f.Close()
		defer func() {
			if err := b.Close(t.Context()); err != nil {
				t.Error(err)
			}
		}()
		f.Servers[0].ChangeBehaviour(func(b *fakes.Behaviour) { b.Slowdown = 10 })
		for _, after := range []time.Duration{0, 50 * ms} {
			ctx, cancel := context.WithCancel(t.Context())
			if after == 0 {
				cancel()
			}
			time.AfterFunc(after, cancel)
			startedAt := time.Now()
			_, err := b.Do(ctx, &plankrouter.Request{Class: "order", Method: "POST"})
			var cancelled *plankrouter.CancelledError
			if !errors.As(err, &cancelled) || cancelled.MayHaveRun != (after > 0) || !errors.Is(err, context.Canceled) ||
				time.Since(startedAt) != after {
				t.Errorf("after %s: %v, %s later", after, err, time.Since(startedAt))
			}
		}
	})
}
