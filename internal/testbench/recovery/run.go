package recovery

import (
	"context"
	"fmt"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	calm = 3 * time.Second // of load before the event

	// What is normal is measured in a part of that: a sidecar that has just started knows nothing yet, and what is
	// under way at the event is a part of the fault.
	calmFrom = 2500 * time.Millisecond // before the event
	calmTo   = 500 * time.Millisecond

	clock    = "15:04:05.000000" // as in the sidecar's log
	examples = 3                 // of lost requests
)

// Report is a run of a scenario.
type Report struct {
	Scenario string `json:"scenario"`
	Program  string `json:"program"`
	Seed     uint64 `json:"seed"`
	Metrics
	Broken []string `json:"broken,omitempty"` // rules, and processes that ended in another way than they should
}

// Run runs a scenario once, which takes under 20 s. An error says that nothing could be measured. AdoptOrphans must
// have been called. Only one run at a time gives figures to go by.
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
	r.begin(ctx, calm+s.after)
	if err := fakes.Pause(ctx, calm); err != nil {
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
	out.Broken = append(out.Broken, none(out.ExtraRuns, ruleTwice)...)
	out.Broken = append(out.Broken, none(out.Late, ruleLate)...)
	if s.strict {
		out.Broken = append(out.Broken, noneLost(r.tries)...)
	}
	return out, nil
}

// What a report says of a broken rule.
const (
	ruleTwice = "further runs of requests that must not run twice"
	ruleLate  = "sends to a provider after the grace of its drain"
)

// none says that a rule is broken unless n is 0.
func none(n int, rule string) []string {
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d %s", n, rule)}
}

// noneLost says that a rule is broken if a request is lost, and which: its id and times are those of the sidecar's log.
func noneLost(tries []fakes.Attempt) (broken []string) {
	for i := range tries {
		if t := &tries[i]; isLost(t) {
			broken = append(broken, fmt.Sprintf("request %s: %s, due %s, sent %s, ended %s on connection %d: %v",
				t.ID, t.Result, t.DueAt.Format(clock), t.SentAt.Format(clock), t.EndedAt.Format(clock), t.Conn, t.Err))
		}
	}
	if n := len(broken); n > 0 {
		broken = append([]string{fmt.Sprintf("%d requests lost or not answered", n)}, broken[:min(n, examples)]...)
	}
	return broken
}

// finish ends the process that serves and says which have ended in another way than they should.
func (r *rig) finish(ctx context.Context) (faults []string) {
	if r.line.main.running() {
		if err := r.line.stop(ctx); err != nil {
			faults = append(faults, err.Error())
		}
	} else if r.line.main.fault() == nil {
		faults = append(faults, fmt.Sprintf("process %d had ended: %s", r.line.main.Pid, r.line.main.fate()))
	}
	return append(faults, r.line.faults()...)
}
