// Command plankrouter is the sidecar: it takes the consumers' invocations, sends each to the provider that the
// decision module picks, and answers. See README.md.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/consumer"
	"plankrouter/internal/directory"
	"plankrouter/internal/ending"
	"plankrouter/internal/sidecar"
	"plankrouter/internal/sockets"
)

const (
	serveOn       = 500 * time.Millisecond // after SIGTERM: consumers are still arriving
	memoryPart    = 0.7                    // of the limit: the collector works harder beyond it
	socketReserve = 24                     // descriptors that are not connections, and closes under way
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "plankrouter: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core is all there is; more threads would only wait for one another
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	budget := sockets.NewBudget(cfg.Limits.Sockets - socketReserve)

	// Two lifetimes: the front ends first, and the core only when the front has answered all that it took.
	core, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(core)
	car, err := sidecar.New(ctx, group, cfg, budget)
	if err != nil {
		return err
	}
	watch := &directory.Watch{Address: cfg.Discovery, Budget: budget, Told: car.Told}
	front := consumer.New(cfg, car, budget)
	group.Go(func() error { return car.Run(ctx) })
	group.Go(func() error { return watch.Run(ctx, cfg.Known.Revision) })
	group.Go(func() error {
		defer stop()
		return front.Serve(ctx, l)
	})
	group.Go(func() error {
		var leave <-chan time.Time
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-signals:
				if sig == syscall.SIGUSR1 {
					report(cfg.Name, car.Counts(), front, watch, budget)
				} else if leave == nil {
					log.Printf("name=%s state=stopping signal=%s", cfg.Name, sig)
					leave = time.After(serveOn)
				}
			case <-leave:
				front.Drain(l)
				leave = make(chan time.Time)
			}
		}
	})
	log.Printf("name=%s state=started listen=%s providers=%d", cfg.Name, l.Addr(), len(cfg.Known.Members))
	err = group.Wait()
	report(cfg.Name, car.Counts(), front, watch, budget)
	return err
}

// report prints the counters.
func report(name string, c sidecar.Counts, front *consumer.Server, watch *directory.Watch, budget *sockets.Budget) {
	log.Printf("name=%s counters=core taken=%d consumer_gone=%d sent=%d probes=%d lists=%d served=%d refused=%d failed=%d",
		name, c.Taken, c.Gone, c.Sent, c.Probes, c.Lists, c.Served, c.Refused, c.Failed)
	log.Printf("name=%s counters=front connections=%d not_taken=%d served=%d refused=%d failed=%d sockets=%d",
		name, front.Connections.Load(), front.NotTaken.Load(), front.Served.Load(), front.Refused.Load(),
		front.Failed.Load(), budget.Used())
	log.Printf("name=%s counters=directory answers=%d failures=%d", name, watch.Answers.Load(), watch.Failures.Load())
	consumers := front.Endings()
	for _, e := range []struct {
		of     string
		counts *ending.Counts
	}{{"calls", &c.Calls}, {"probes", &c.Asked}, {"idle_connections", &c.Idle}, {"consumers", &consumers}} {
		var b strings.Builder
		e.counts.Each(func(how ending.Ending, n int) { fmt.Fprintf(&b, " %s=%d", how, n) })
		log.Printf("name=%s counters=ended of=%s%s", name, e.of, b.String())
	}
}
