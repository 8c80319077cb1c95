package main

import (
	"context"
	"log"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// cpuInterval is between two lines of CPU time in a trace.
const cpuInterval = time.Second

// startTracing returns what logs a line for whatever is done to servers and discovery, where GW_TRACE is 1, and has the
// CPU time logged with it; else nil. testbench fleet counts such lines over a fleet.
func startTracing(ctx context.Context, group *errgroup.Group, getenv func(string) string) func(string, ...any) {
	if getenv("GW_TRACE") != "1" {
		return nil
	}
	group.Go(func() error {
		every := time.NewTicker(cpuInterval)
		defer every.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-every.C:
				var use syscall.Rusage
				if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
					log.Printf("trace=cpu used_ms=%d", (use.Utime.Nano()+use.Stime.Nano())/1e6)
				}
			}
		}
	})
	return log.Printf
}
