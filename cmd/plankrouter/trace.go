package main

import (
	"context"
	"log"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// cpuInterval is the time between two log lines of CPU time in a trace.
const cpuInterval = time.Second

// startTracing returns the function that logs each operation on servers and discovery, and starts logging the CPU time, if
// GW_TRACE is 1; else it returns nil. The command "testbench fleet" counts these lines in the logs of a whole fleet.
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
