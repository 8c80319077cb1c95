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

// servers is the number of servers: enough that 1,024 callers overload none of them.
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

// measure makes b.N calls from the given number of goroutines, and reports this process's CPU time and the failures per call.
func measure(b *testing.B, callers int, call func() error) {
	b.ReportAllocs()
	var remaining, failed atomic.Int64
	remaining.Store(int64(b.N))
	var running sync.WaitGroup
	b.ResetTimer()
	cpuBefore := cpubench.OwnCPU()
	for range callers {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				if call() != nil {
					failed.Add(1)
				}
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(cpubench.OwnCPU()-cpuBefore)/float64(b.N), "cpu-ns/op")
	if n := failed.Load(); n > 0 {
		b.ReportMetric(float64(n)/float64(b.N), "failed/op")
	}
}

// BenchmarkIdle measures the memory, goroutines and CPU time of each of 1,000 idle balancers in one process, and the goroutines
// that remain after all are closed.
func BenchmarkIdle(b *testing.B) {
	const instances, watched = 1000, 5 * time.Second
	for b.Loop() {
		goroutines, heap := runtime.NumGoroutine(), heapInUse()
		balancers := make([]*plankrouter.Balancer, instances)
		for i := range balancers {
			o := plankrouter.Options{Name: fmt.Sprint("b", i)}
			for s := range 8 {
				o.Endpoints = append(o.Endpoints, plankrouter.Endpoint{Address: fmt.Sprintf("127.0.0.1:%d", 1+s)})
			}
			var err error
			if balancers[i], err = plankrouter.New(o); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapInUse()-heap)/instances/1024, "KB/instance")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/instances, "goroutines/instance")
		cpuBefore := cpubench.OwnCPU()
		time.Sleep(watched)
		b.ReportMetric(float64((cpubench.OwnCPU()-cpuBefore).Microseconds())/watched.Seconds()/instances, "cpu-us/s/instance")
		for _, balancer := range balancers {
			if err := balancer.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(time.Second) // goroutines that Close does not wait for may still be ending
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
