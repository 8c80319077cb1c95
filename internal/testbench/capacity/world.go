package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// configure writes the n-th version of the sidecar's configuration, which differs from the previous one.
func (w *world) configure(n int) error {
	known := fakes.List{}
	if !w.point.Unknown {
		known = fakes.List{Revision: 1, Endpoints: w.servers.endpoints()}
	}
	latencyObjective := fakes.TileClass().LatencyObjective + time.Duration(n%2)*time.Millisecond
	return w.sidecar.configure(w.point, w.discovery.Address(), known, latencyObjective)
}

// reload writes the n-th configuration and sends SIGHUP to the sidecar.
func (w *world) reload(n int) error {
	if err := w.configure(n); err != nil {
		return err
	}
	return w.sidecar.process.Signal(syscall.SIGHUP)
}

// changeEndpoint updates one server in the endpoint list, as if it had restarted.
func (w *world) changeEndpoint(n int) {
	all := w.servers.endpoints()
	one := all[n%len(all)]
	one.UpSince = time.Now().UnixMilli()
	w.discovery.Change(one)
	w.changed.Add(1)
}

// every calls do at the rate, per second, in the background until ctx ends or do fails. A rate of 0 never calls it.
func (w *world) every(ctx context.Context, running *sync.WaitGroup, rate float64, do func(n int) error) {
	if rate <= 0 {
		return
	}
	running.Go(func() {
		next := time.Now()
		for n := 1; ; n++ {
			next = next.Add(time.Duration(float64(time.Second) / rate))
			if fakes.Pause(ctx, time.Until(next)) != nil || do(n) != nil {
				return
			}
		}
	})
}

// connect opens n client connections, each of which sends one request and stays open.
func (w *world) connect(ctx context.Context, n int) error {
	for i := range n {
		c, err := w.network.Dial(ctx, w.sidecar.address)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
		if _, err := fmt.Fprintf(c, "GET /tile/idle HTTP/1.1\r\nHost: api.internal\r\nReq-Id: idle-%d\r\nReq-Deadline: 2.500\r\n\r\n",
			i); err != nil {
			return err
		}
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return fmt.Errorf("client %d: %w", i+1, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Errorf("client %d: %w", i+1, err)
		}
		w.open.Add(1)
		go func() {
			_, _ = br.ReadByte() // until the sidecar, or closeClients, closes it
			w.open.Add(-1)
		}()
	}
	return nil
}

func (w *world) closeClients() {
	for _, c := range w.clients {
		c.Close()
	}
}
