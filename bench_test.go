package plankrouter_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/cpubench"
)

func TestMain(m *testing.M) {
	cpubench.Serve()
	os.Exit(m.Run())
}

// servers are so many that 1,024 callers crowd none of them.
const servers = 64

// BenchmarkCall measures a call to one of 64 servers on loopback, in time, allocations and this process's CPU: through the
// library, with probes and without, and through a plain http.Transport with a random pick.
func BenchmarkCall(b *testing.B) {
	children, err := cpubench.Start(fmt.Sprintf("%s %d", cpubench.RoleServers, servers), servers)
	if err != nil {
		b.Fatal(err)
	}
	defer children.Stop()
	for _, callers := range []int{1, 64, 1024} {
		for _, probes := range []bool{false, true} {
			b.Run(fmt.Sprintf("library/probes=%t/callers=%d", probes, callers), func(b *testing.B) {
				o := plankrouter.Options{Probes: probes, ConnectionLimit: plankrouter.NewConnectionLimit(4096, nil)}
				for _, a := range children.Addresses {
					o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{Address: a})
				}
				lib, err := plankrouter.New(o)
				if err != nil {
					b.Fatal(err)
				}
				defer func() {
					if err := lib.Close(context.Background()); err != nil {
						b.Error(err)
					}
				}()
				measure(b, callers, func() error {
					_, err := lib.Do(context.Background(), &plankrouter.Request{Target: "/tile/roma?z=3"})
					return err
				})
				b.ReportMetric(float64(lib.Stats().Probes)/float64(b.N), "probes/op")
			})
		}
		b.Run(fmt.Sprintf("transport/callers=%d", callers), func(b *testing.B) {
			t := cpubench.Transport()
			defer t.CloseIdleConnections()
			measure(b, callers, func() error {
				req, err := http.NewRequest("GET", "http://"+children.Addresses[rand.IntN(servers)]+"/tile/roma?z=3", nil)
				if err != nil {
					return err
				}
				resp, err := t.RoundTrip(req)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				return err
			})
		})
	}
}

// measure makes b.N calls by so many callers side by side.
func measure(b *testing.B, callers int, call func() error) {
	b.ReportAllocs()
	var left, failed atomic.Int64
	left.Store(int64(b.N))
	var all sync.WaitGroup
	b.ResetTimer()
	began := cpubench.OwnCPU()
	for range callers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				if call() != nil {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(cpubench.OwnCPU()-began)/float64(b.N), "cpu-ns/op")
	if n := failed.Load(); n > 0 {
		b.ReportMetric(float64(n)/float64(b.N), "failed/op")
	}
}

// BenchmarkIdle measures what a thousand idle balancers in one process cost: memory, goroutines and CPU of each, and what is
// left when all are closed.
func BenchmarkIdle(b *testing.B) {
	const instances, watched = 1000, 5 * time.Second
	for b.Loop() {
		goroutines, heap := runtime.NumGoroutine(), heapInUse()
		all := make([]*plankrouter.Balancer, instances)
		for i := range all {
			o := plankrouter.Options{Name: fmt.Sprint("b", i)}
			for s := range 8 {
				o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{Address: fmt.Sprintf("127.0.0.1:%d", 1+s)})
			}
			var err error
			if all[i], err = plankrouter.New(o); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapInUse()-heap)/instances/1024, "KB/instance")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/instances, "goroutines/instance")
		cpu := cpubench.OwnCPU()
		time.Sleep(watched)
		b.ReportMetric(float64((cpubench.OwnCPU()-cpu).Microseconds())/watched.Seconds()/instances, "cpu-us/s/instance")
		for _, one := range all {
			if err := one.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(time.Second) // for goroutines that end by themselves
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines-left")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
