package recovery

import (
	"context"
	"fmt"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	baselineLoad = 3 * time.Second // duration of load before the event

	// Metrics.Normal covers the part of it between these times before the event: a sidecar that has just started knows
	// nothing about its servers yet, and the event affects the requests in flight.
	baselineFrom = 2500 * time.Millisecond
	baselineTo   = 500 * time.Millisecond

	clockFormat = "15:04:05.000000" // time format of the sidecar's log
	examples    = 3                 // of lost requests in a report
)

// Report is the result of one run of a scenario.
type Report struct {
	Scenario string `json:"scenario"`
	Program  string `json:"program"`
	Seed     uint64 `json:"seed"`
	Metrics
	Broken []string `json:"broken,omitempty"` // violated rules and unexpected exits of processes
}

// Run runs a scenario once, which takes under 20 s. It returns an error if nothing could be measured. AdoptOrphans must have
// been called. Figures of concurrent runs are not meaningful.
func Run(ctx context.Context, s Scenario, o Setup) (Report, error) {
	out := Report{Scenario: s.Name, Program: o.Program, Seed: o.Seed}
	var edit func(map[string]any)
	if s.edit != nil {
		edit = s.edit(o.Dir)
	}
	r, err := build(ctx, o, edit)
	if err != nil {
		return out, err
	}
	defer r.close()
	if s.prepare != nil {
		s.prepare(r)
	}
	r.startLoad(ctx, baselineLoad+s.after)
	if err := fakes.Pause(ctx, baselineLoad); err != nil {
		return out, err
	}
	event := time.Now()
	if err := s.event(ctx, r); err != nil {
		out.Broken = append(out.Broken, fmt.Sprintf("%s: %v", s.Name, err))
		r.cancel()
	}
	r.running.Wait()
	if err := ctx.Err(); err != nil {
		return out, err
	}
	out.Metrics = r.metrics(event)
	out.Broken = append(out.Broken, r.finish(ctx)...)
	out.Broken = append(out.Broken, violations(out.ExtraRuns, ruleTwice)...)
	out.Broken = append(out.Broken, violations(out.Late, ruleLate)...)
	if s.strict {
		out.Broken = append(out.Broken, describeLost(r.attempts)...)
	}
	return out, nil
}

// Texts for violated rules, after their count.
const (
	ruleTwice = "extra runs of requests that must not run twice"
	ruleLate  = "requests sent to a provider after its drain grace"
)

// violations returns the text for a rule that was violated n times; nil if n is 0.
func violations(n int, rule string) []string {
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d %s", n, rule)}
}

// describeLost returns the number of lost requests and a few of them, with id and times as in the sidecar's log; nil if
// there are none.
func describeLost(attempts []fakes.Attempt) (broken []string) {
	for i := range attempts {
		if t := &attempts[i]; isLost(t) {
			broken = append(broken, fmt.Sprintf("request %s: %s, due %s, sent %s, ended %s on connection %d: %v",
				t.ID, t.Result, t.DueAt.Format(clockFormat), t.SentAt.Format(clockFormat), t.EndedAt.Format(clockFormat), t.Conn, t.Err))
		}
	}
	if n := len(broken); n > 0 {
		broken = append([]string{fmt.Sprintf("%d requests lost or without a response", n)}, broken[:min(n, examples)]...)
	}
	return broken
}

// finish stops the serving process and describes the processes that exited unexpectedly.
func (r *rig) finish(ctx context.Context) (faults []string) {
	if r.processes.main.running() {
		if err := r.processes.stop(ctx); err != nil {
			faults = append(faults, err.Error())
		}
	} else if r.processes.main.fault() == nil {
		faults = append(faults, fmt.Sprintf("process %d had exited: %s", r.processes.main.Pid, r.processes.main.status()))
	}
	return append(faults, r.processes.faults()...)
}
