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
	loadPerHandover = 3 * time.Second  // of load drawn ahead
	maxServiceGap   = 5 * time.Second  // after a kill some request must be served
	clientTimeout   = 10 * time.Second // of clients: who gets no answer then has been forgotten
	passSpan        = 20 * time.Millisecond
	startSpan       = 50 * time.Millisecond // in which a kill falls, as long as nothing has been measured
)

// HandoverPlan is a line of processes that hand over to one another under load.
type HandoverPlan struct {
	Setup
	Restarts int
	Pause    time.Duration // between a hot restart's end and the next
	Kill     Victim        // one of the two is killed in the middle
	At       KillPhase     // of the hot restart; needed with Kill
	Nth      int           // of each Nth hot restart; 0 = of each
}

// Check says what is wrong with the plan.
func (h HandoverPlan) Check() error {
	switch {
	case h.Restarts < 1 || h.Restarts > 10000:
		return fmt.Errorf("restarts: %d; want 1 to 10000", h.Restarts)
	case h.Pause < 0 || h.Pause > time.Second:
		return fmt.Errorf("pause: %s; want 0 to 1 s", h.Pause)
	case h.Nth < 0:
		return fmt.Errorf("nth: %d is negative", h.Nth)
	case h.Kill != Nobody && h.Kill != Successor && h.Kill != Predecessor:
		return fmt.Errorf("kill: %q; want %q or %q", h.Kill, Successor, Predecessor)
	case h.Kill != Nobody && h.At != AtStart && h.At != Passing:
		return fmt.Errorf("at: %q; want %q or %q", h.At, AtStart, Passing)
	}
	return h.Setup.Check()
}

// HandoverReport is what became of a line of processes. Times are in seconds.
type HandoverReport struct {
	Program     string  `json:"program"`
	Restarts    int     `json:"restarts"` // hot restarts that were done
	Requests    int     `json:"requests"`
	Served      int     `json:"served"`
	Lost        int     `json:"lost"` // or not answered
	Failed      int     `json:"failed"`
	Rejected    int     `json:"refused"`
	Unreachable int     `json:"unreachable"`
	Twice       int     `json:"twice"`
	LongestGap  float64 `json:"longest_gap_s"` // without an answer to anyone
	Median      float64 `json:"median_s"`      // from the signal to the end of the predecessor
	Worst       float64 `json:"worst_s"`
	Start       float64 `json:"median_start_s"` // until the successor was ready
	Stall       float64 `json:"stall_s"`        // as in Figures

	Kills      map[string]int `json:"kills,omitempty"` // by what they met
	Afresh     int            `json:"afresh"`          // kills that left nobody, so that a process had to be started
	LostToKill int            `json:"lost_to_kills"`   // under way at a kill, so that the killed one may have had them
	Broken     []string       `json:"broken,omitempty"`
}

// patientClasses are the usual classes with clients that wait for long.
func patientClasses() []fakes.Class {
	idempotent, order := fakes.TileClass(), fakes.OrderClass()
	idempotent.Deadline, order.Deadline = clientTimeout, clientTimeout
	return []fakes.Class{idempotent, order}
}

// Handovers runs the plan: SIGUSR2, until the successor serves alone, and again. An error says that it could not be run
// to its end. AdoptOrphans must have been called.
func Handovers(ctx context.Context, p HandoverPlan) (HandoverReport, error) {
	out := HandoverReport{Program: p.Program, Kills: map[string]int{}}
	if err := p.Check(); err != nil {
		return out, err
	}
	if p.Classes == nil {
		p.Classes = patientClasses()
	}
	r, err := build(ctx, p.Setup, nil)
	if err != nil {
		return out, err
	}
	defer r.close()
	long := time.Duration(p.Restarts+5) * loadPerHandover
	r.begin(ctx, long)
	took, kills, err := p.run(ctx, r)
	if err != nil {
		return out, err
	}
	if time.Since(r.start) > long {
		return out, fmt.Errorf("a handover takes more than %s: the load has ended before the last", loadPerHandover)
	}
	if err := fakes.Pause(ctx, time.Second); err != nil {
		return out, err
	}
	r.end()
	out.Broken = r.finish(ctx)
	out.fill(r, took, kills)
	return out, nil
}

// run does all hot restarts and returns how long the undisturbed ones took, and the kills.
func (h HandoverPlan) run(ctx context.Context, r *rig) (took []phases, kills []kill, err error) {
	draw := rand.New(rand.NewPCG(h.Seed, 0))
	for n := 1; n <= h.Restarts; n++ {
		if err := fakes.Pause(ctx, h.Pause); err != nil {
			return nil, nil, err
		}
		if h.Kill != Nobody && n%max(1, h.Nth) == 0 {
			k, err := r.line.handOverKilling(ctx, h.Kill, h.At, h.killDelay(draw.Float64(), took))
			if err != nil {
				return nil, nil, fmt.Errorf("handover %d, with a kill: %w", n, err)
			}
			kills = append(kills, k)
			continue
		}
		t, err := r.line.handOver(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("handover %d: %w", n, err)
		}
		took = append(took, t)
	}
	return took, kills, nil
}

// killDelay is how long after the beginning of its part of a hot restart a kill comes: somewhere in the time that the part
// usually takes.
func (h HandoverPlan) killDelay(part float64, took []phases) time.Duration {
	usual := startSpan
	if h.At == Passing {
		usual = passSpan
	}
	if len(took) > 0 {
		usual = middle(took, func(t phases) time.Duration {
			if h.At == Passing {
				return t.pass
			}
			return t.start
		})
	}
	return time.Duration(part * float64(usual))
}

// middle is the median of what is picked; 0 where there is none.
func middle(all []phases, pick func(phases) time.Duration) time.Duration {
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

// fill counts, and says which rules are broken.
func (h *HandoverReport) fill(r *rig, took []phases, kills []kill) {
	complete := func(t phases) time.Duration { return t.total }
	h.Restarts, h.Median = len(took), middle(took, complete).Seconds()
	h.Start = middle(took, func(t phases) time.Duration { return t.start }).Seconds()
	for _, t := range took {
		h.Worst = max(h.Worst, t.total.Seconds())
	}
	var all Metrics
	var strays []fakes.Attempt
	for i := range r.tries {
		t := &r.tries[i]
		all.count(t)
		switch {
		case t.Result == fakes.Served:
			h.Served++
		case !isLost(t):
		case slices.ContainsFunc(kills, func(k kill) bool { return k.affects(t) }):
			h.LostToKill++
		default:
			strays = append(strays, *t)
		}
	}
	h.Requests, h.Lost, h.Failed = len(r.tries), all.Lost+all.Unanswered, all.Failed
	h.Rejected, h.Unreachable = all.Rejected, all.Unreachable
	h.Twice = r.extraRuns()
	h.LongestGap, h.Stall = longestGap(r.tries).Seconds(), r.stall.Seconds()
	for _, k := range kills {
		h.Kills[k.phase]++
		if k.noSurvivor {
			h.Afresh++
		}
		if !servedAfter(r.tries, k.until) {
			h.Broken = append(h.Broken, fmt.Sprintf("nothing was served in the %s after a kill", maxServiceGap))
		}
	}
	h.Broken = append(h.Broken, noneLost(strays)...)
	h.Broken = append(h.Broken, none(h.Twice, ruleTwice)...)
}

// affects reports whether the request was under way when the process was killed, or until another served alone: a
// connection that came up meanwhile may have been the killed one's, or in the queue of a listener that then had no
// process.
func (k kill) affects(t *fakes.Attempt) bool {
	return t.EndedAt.After(k.killedAt) && !t.DueAt.After(k.until)
}

// servedAfter reports whether a request that was due soon after a moment was served.
func servedAfter(tries []fakes.Attempt, at time.Time) bool {
	return slices.ContainsFunc(tries, func(t fakes.Attempt) bool {
		return t.Result == fakes.Served && t.DueAt.After(at) && t.EndedAt.Before(at.Add(maxServiceGap))
	})
}

// longestGap is the longest time between two answers, whoever got them.
func longestGap(tries []fakes.Attempt) (gap time.Duration) {
	var answers []time.Time
	for i := range tries {
		if tries[i].Status != 0 {
			answers = append(answers, tries[i].EndedAt)
		}
	}
	slices.SortFunc(answers, time.Time.Compare)
	for i := 1; i < len(answers); i++ {
		gap = max(gap, answers[i].Sub(answers[i-1]))
	}
	return gap
}
