package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	stallTick = 5 * time.Millisecond  // interval at which stalls of this process are measured
	minStall  = 3 * time.Millisecond  // a shorter delay does not count as a stall
	baseSlack = 30 * time.Millisecond // tolerance for measurements at the other end of a socket on a busy machine
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	variant
	Faults                              map[Kind]int // number of injected faults
	Requests, Served, Rejected, Failed  int
	Disconnected, Unreachable, Attempts int           // Disconnected counts clients that disconnected before the response
	Stall                               time.Duration // longest stall of this process
	Violations                          []Violation
}

// Run executes a run and judges it.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	w, err := build(ctx, o)
	if err != nil {
		return nil, err
	}
	out := &Report{Seed: o.Seed, variant: w.variant, Faults: map[Kind]int{}}
	loading, endLoad := context.WithTimeout(ctx, o.For)
	defer endLoad()
	w.record.start = time.Now()
	var stall time.Duration
	var stalls []span
	stalled := make(chan struct{})
	go func() {
		defer close(stalled)
		for before := time.Now(); fakes.Pause(loading, stallTick) == nil; before = time.Now() {
			late := time.Since(before) - stallTick
			if stall = max(stall, late); late > minStall {
				stalls = append(stalls, span{time.Now().Add(-late), time.Now()})
			}
		}
	}()
	for _, c := range w.clients {
		w.running.Go(func() { c.run(loading) })
	}
	for _, t := range Draw(o.Seed, o.For, o.Sidecars, o.Servers, o.Only) {
		if fakes.Pause(ctx, time.Until(w.record.start.Add(t.At))) != nil {
			break
		}
		out.Faults[t.Kind]++
		w.running.Go(func() { w.injectFault(ctx, t) })
	}
	w.running.Wait()
	<-stalled
	w.close()
	r := w.finish()
	out.Stall, r.stalls, r.slack = stall, stalls, cmp.Or(o.Slack, baseSlack)
	out.count(r)
	out.Violations = r.judge()
	return out, ctx.Err()
}

// count counts the requests by their result.
func (r *Report) count(recorded *record) {
	r.Attempts = len(recorded.attempts)
	for _, q := range recorded.requests {
		r.Requests++
		switch {
		case !q.disconnectedAt.IsZero():
			r.Disconnected++
		case q.unreachable:
			r.Unreachable++
		case q.status == 200:
			r.Served++
		case q.status == 429 || q.status == 503:
			r.Rejected++
		default:
			r.Failed++
		}
	}
}

// Write writes the report as text.
func (r *Report) Write(to io.Writer) {
	fmt.Fprintf(to, "seed %d, %d sockets, on request %t, deadlines up to %s, connect timeout %s, retry window %s, many clients %t: %d requests, %d served, %d rejected, %d failed, %d disconnected, %d without a connection; %d attempts; longest stall %s\n",
		r.Seed, r.maxConns, r.onRequest, r.longestDeadline, r.connectTimeout, r.retryWindow, r.manyClients, r.Requests, r.Served, r.Rejected, r.Failed, r.Disconnected, r.Unreachable, r.Attempts, r.Stall.Round(time.Millisecond))
	fmt.Fprint(to, "  faults:")
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(to, " %s %d", k, r.Faults[k])
	}
	fmt.Fprintln(to)
	for _, v := range r.Violations {
		fmt.Fprintf(to, "  BROKEN %s\n", v)
	}
}
