package recovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	loadPerHandover  = 3 * time.Second       // duration of load that is drawn in advance for each hot restart
	maxServiceGap    = 5 * time.Second       // time after a kill within which some request must be served
	clientTimeout    = 10 * time.Second      // client deadline: a request without a response by then is lost
	assumedPassTime  = 20 * time.Millisecond // assumed duration of passing connections until one was measured
	assumedStartTime = 50 * time.Millisecond // assumed duration of the successor's start until one was measured
)

// HandoverPlan describes a series of hot restarts under load.
type HandoverPlan struct {
	Setup
	Restarts int
	Pause    time.Duration // between the end of a hot restart and the next one
	Kill     KillTarget    // which of the two processes is killed during a hot restart
	At       KillPhase     // phase of the hot restart in which it is killed; needed with Kill
	Nth      int           // kill in every Nth hot restart; 0 = in each
}

// Check returns an error if the plan is invalid.
func (h HandoverPlan) Check() error {
	switch {
	case h.Restarts < 1 || h.Restarts > 10000:
		return fmt.Errorf("restarts: %d; want 1 to 10000", h.Restarts)
	case h.Pause < 0 || h.Pause > time.Second:
		return fmt.Errorf("pause: %s; want 0 to 1 s", h.Pause)
	case h.Nth < 0:
		return fmt.Errorf("nth: %d is negative", h.Nth)
	case h.Kill != NoKill && h.Kill != Successor && h.Kill != Predecessor:
		return fmt.Errorf("kill: %q; want %q or %q", h.Kill, Successor, Predecessor)
	case h.Kill != NoKill && h.At != AtStart && h.At != Passing:
		return fmt.Errorf("at: %q; want %q or %q", h.At, AtStart, Passing)
	}
	return h.Setup.Check()
}

// HandoverReport is the result of a HandoverPlan. Times are in seconds.
type HandoverReport struct {
	Program     string  `json:"program"`
	Restarts    int     `json:"restarts"` // completed hot restarts without a kill
	Requests    int     `json:"requests"`
	Served      int     `json:"served"`
	Lost        int     `json:"lost"` // includes requests without a response
	Failed      int     `json:"failed"`
	Rejected    int     `json:"refused"`
	Unreachable int     `json:"unreachable"`
	ExtraRuns   int     `json:"twice"`
	LongestGap  float64 `json:"longest_gap_s"` // longest time without a response to any client
	Median      float64 `json:"median_s"`      // from the signal to the exit of the predecessor
	Worst       float64 `json:"worst_s"`
	Start       float64 `json:"median_start_s"` // from the signal until the successor was ready
	Stall       float64 `json:"stall_s"`        // as in Metrics

	Kills       map[string]int `json:"kills,omitempty"` // by the phase in which they took effect
	FreshStarts int            `json:"afresh"`          // kills after which no process served, so that one had to be started
	LostToKill  int            `json:"lost_to_kills"`   // lost requests in flight at a kill, which the killed process may have had
	Broken      []string       `json:"broken,omitempty"`
}

// longDeadlineClasses returns the usual classes with the deadline clientTimeout.
func longDeadlineClasses() []fakes.Class {
	idempotent, order := fakes.TileClass(), fakes.OrderClass()
	idempotent.Deadline, order.Deadline = clientTimeout, clientTimeout
	return []fakes.Class{idempotent, order}
}

// Handovers runs the plan: it sends SIGUSR2, waits until the successor serves alone, and repeats. It returns an error if the
// plan could not be completed. AdoptOrphans must have been called.
func Handovers(ctx context.Context, p HandoverPlan) (HandoverReport, error) {
	out := HandoverReport{Program: p.Program, Kills: map[string]int{}}
	if err := p.Check(); err != nil {
		return out, err
	}
	if p.Classes == nil {
		p.Classes = longDeadlineClasses()
	}
	r, err := build(ctx, p.Setup, nil)
	if err != nil {
		return out, err
	}
	defer r.close()
	duration := time.Duration(p.Restarts+5) * loadPerHandover
	r.startLoad(ctx, duration)
	took, kills, err := p.run(ctx, r)
	if err != nil {
		return out, err
	}
	if time.Since(r.start) > duration {
		return out, fmt.Errorf("handovers take more than %s on average: the load ended before the last one", loadPerHandover)
	}
	if err := fakes.Pause(ctx, time.Second); err != nil {
		return out, err
	}
	r.stopLoad()
	out.Broken = r.finish(ctx)
	out.fill(r, took, kills)
	return out, nil
}

// run performs all hot restarts and returns the phases of those without a kill, and the kills.
func (h HandoverPlan) run(ctx context.Context, r *rig) (took []phases, kills []kill, err error) {
	draw := rand.New(rand.NewPCG(h.Seed, 0))
	for n := 1; n <= h.Restarts; n++ {
		if err := fakes.Pause(ctx, h.Pause); err != nil {
			return nil, nil, err
		}
		if h.Kill != NoKill && n%max(1, h.Nth) == 0 {
			k, err := r.processes.handOverWithKill(ctx, h.Kill, h.At, h.killDelay(draw.Float64(), took))
			if err != nil {
				return nil, nil, fmt.Errorf("handover %d, with a kill: %w", n, err)
			}
			kills = append(kills, k)
			continue
		}
		t, err := r.processes.handOver(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("handover %d: %w", n, err)
		}
		took = append(took, t)
	}
	return took, kills, nil
}

// killDelay returns how long after the beginning of its phase a kill takes place: the given fraction of the phase's usual
// duration.
func (h HandoverPlan) killDelay(fraction float64, took []phases) time.Duration {
	usual := assumedStartTime
	if h.At == Passing {
		usual = assumedPassTime
	}
	if len(took) > 0 {
		usual = median(took, func(t phases) time.Duration {
			if h.At == Passing {
				return t.pass
			}
			return t.start
		})
	}
	return time.Duration(fraction * float64(usual))
}

// median returns the median of the durations that pick returns; 0 if there are none.
func median(all []phases, pick func(phases) time.Duration) time.Duration {
	var times []time.Duration
	for _, t := range all {
		times = append(times, pick(t))
	}
	slices.Sort(times)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)/2]
}

// fill computes the figures and the broken rules.
func (h *HandoverReport) fill(r *rig, took []phases, kills []kill) {
	complete := func(t phases) time.Duration { return t.total }
	h.Restarts, h.Median = len(took), median(took, complete).Seconds()
	h.Start = median(took, func(t phases) time.Duration { return t.start }).Seconds()
	for _, t := range took {
		h.Worst = max(h.Worst, t.total.Seconds())
	}
	var all Metrics
	var unexplained []fakes.Attempt
	for i := range r.attempts {
		t := &r.attempts[i]
		all.count(t)
		switch {
		case t.Result == fakes.Served:
			h.Served++
		case !isLost(t):
		case slices.ContainsFunc(kills, func(k kill) bool { return k.affects(t) }):
			h.LostToKill++
		default:
			unexplained = append(unexplained, *t)
		}
	}
	h.Requests, h.Lost, h.Failed = len(r.attempts), all.Lost+all.Unanswered, all.Failed
	h.Rejected, h.Unreachable = all.Rejected, all.Unreachable
	h.ExtraRuns = r.extraRuns()
	h.LongestGap, h.Stall = longestGap(r.attempts).Seconds(), r.stall.Seconds()
	for _, k := range kills {
		h.Kills[k.phase]++
		if k.noSurvivor {
			h.FreshStarts++
		}
		if !servedAfter(r.attempts, k.until) {
			h.Broken = append(h.Broken, fmt.Sprintf("nothing was served in the %s after a kill", maxServiceGap))
		}
	}
	h.Broken = append(h.Broken, describeLost(unexplained)...)
	h.Broken = append(h.Broken, violations(h.ExtraRuns, ruleTwice)...)
}

// affects reports whether the request was in flight between the kill and the time when another process served alone. A
// connection that was established meanwhile may have belonged to the killed process, or to the accept queue of a listener
// without a process.
func (k kill) affects(t *fakes.Attempt) bool {
	return t.EndedAt.After(k.killedAt) && !t.DueAt.After(k.until)
}

// servedAfter reports whether a request due after the given time was served within maxServiceGap of it.
func servedAfter(attempts []fakes.Attempt, at time.Time) bool {
	return slices.ContainsFunc(attempts, func(t fakes.Attempt) bool {
		return t.Result == fakes.Served && t.DueAt.After(at) && t.EndedAt.Before(at.Add(maxServiceGap))
	})
}

// longestGap returns the longest time between two consecutive responses to any client.
func longestGap(attempts []fakes.Attempt) (gap time.Duration) {
	var responses []time.Time
	for i := range attempts {
		if attempts[i].Status != 0 {
			responses = append(responses, attempts[i].EndedAt)
		}
	}
	slices.SortFunc(responses, time.Time.Compare)
	for i := 1; i < len(responses); i++ {
		gap = max(gap, responses[i].Sub(responses[i-1]))
	}
	return gap
}
