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
	stallTick = 5 * time.Millisecond
	minStall  = 3 * time.Millisecond  // below that it is no stall
	baseSlack = 30 * time.Millisecond // of what is measured at the other end of a socket, on a busy machine
)

// Report is what a run has shown.
type Report struct {
	Seed uint64
	variant
	Faults                             map[Kind]int
	Requests, Served, Rejected, Failed int
	Left, Unreachable, Attempts        int
	Stall                              time.Duration // by which this process was stalled, at most: slack of the judge
	Violations                         []Violation
}

// Run plays a run and judges it.
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
		w.running.Go(func() { w.playFault(ctx, t) })
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

func (r *Report) count(recorded *record) {
	r.Attempts = len(recorded.attempts)
	for _, q := range recorded.requests {
		r.Requests++
		switch {
		case !q.leftAt.IsZero():
			r.Left++
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

// Write prints the report.
func (r *Report) Write(to io.Writer) {
	fmt.Fprintf(to, "seed %d, %d sockets, on request %t, deadlines up to %s, connections within %s, repeats within %s, crowds %t: %d requests, %d served, %d refused, %d failed, %d left, %d found nobody; %d attempts; held up %s at most\n",
		r.Seed, r.sockets, r.onRequest, r.longest, r.connect, r.window, r.manyClients, r.Requests, r.Served, r.Rejected, r.Failed, r.Left, r.Unreachable, r.Attempts, r.Stall.Round(time.Millisecond))
	fmt.Fprint(to, "  troubles:")
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(to, " %s %d", k, r.Faults[k])
	}
	fmt.Fprintln(to)
	for _, v := range r.Violations {
		fmt.Fprintf(to, "  BROKEN %s\n", v)
	}
}
