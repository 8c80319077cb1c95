package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plankrouter/internal/testbench/fakes"
)

// Outcome is the result of an attempt as its client saw it. The outcome of a request is that of its last attempt.
type Outcome uint8

// The outcomes; each attempt has exactly one.
const (
	Served      = Outcome(fakes.Served)      // 200
	Rejected    = Outcome(fakes.Rejected)    // 429 or 503
	Failed      = Outcome(fakes.Failed)      // any other status, or an incomplete response
	Lost        = Outcome(fakes.Lost)        // the connection ended without a response
	TimedOut    = Outcome(fakes.TimedOut)    // no response, or no free connection, within the timeout
	Unreachable = Outcome(fakes.Unreachable) // no connection could be established
	numOutcomes = Unreachable + 1
)

var outcomeNames = [numOutcomes]string{"served", "refused", "failed", "lost", "timed_out", "unreachable"}

func (e Outcome) String() string { return outcomeNames[e] }

func parseOutcome(name string) (Outcome, bool) {
	i := slices.Index(outcomeNames[:], name)
	return Outcome(i), i >= 0
}

const (
	fineDigits   = 3 // significant digits of histograms over a whole run: values are within 0.1%
	coarseDigits = 2 // significant digits of histograms over one second: values are within 1%
	maxUs        = int64(time.Hour / time.Microsecond)
)

// Histogram is a histogram of durations in microseconds. Only values that occur take memory. It is not safe for concurrent
// use.
type Histogram struct{ packed *hdrhistogram.PackedHistogram }

func newHistogram(digits int) Histogram { return Histogram{hdrhistogram.NewPacked(1, maxUs, digits)} }

func (h Histogram) record(d time.Duration) {
	_ = h.packed.RecordValue(min(max(0, d.Microseconds()), maxUs)) // in range, so it can't fail
}

// Count returns the number of recorded values.
func (h Histogram) Count() uint64 { return uint64(h.packed.TotalCount()) }

// Quantile returns the quantile q of total values by nearest rank, within the histogram's precision. total is at least
// Count. The values beyond Count, which were not recorded, count as infinite; false means that the quantile is infinite.
func (h Histogram) Quantile(q float64, total uint64) (time.Duration, bool) {
	rank := max(1, math.Ceil(q*float64(total)-1e-6)) // compensates rounding errors: 0.99*1000 is a little above 990
	if rank > float64(h.Count()) {
		return 0, false
	}
	us := h.packed.ValueAtPercentile(100 * rank / float64(h.Count()))
	return time.Duration(us) * time.Microsecond, true
}

// MarshalJSON encodes the histogram in the compressed HdrHistogram format, which other HdrHistogram tools can read.
func (h Histogram) MarshalJSON() ([]byte, error) {
	raw, err := h.packed.Encode()
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(raw))
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (h *Histogram) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	packed, err := hdrhistogram.DecodePacked([]byte(text))
	h.packed = packed
	return err
}

// Tally has the counts and latencies of the requests of one class.
type Tally struct {
	Requests        uint64              `json:"asked"`    // requests, not counting retries
	Attempts        uint64              `json:"tries"`    // attempts of all requests, including those that got no connection
	Resent          uint64              `json:"resent"`   // attempts sent again because the server had closed the reused connection
	InObjective     uint64              `json:"in_aim"`   // requests served within their latency objective, from their due time
	Outcomes        [numOutcomes]uint64 `json:"ends"`     // numbers of requests by outcome, in the order of the constants
	AttemptOutcomes [numOutcomes]uint64 `json:"try_ends"` // numbers of attempts by outcome, in the same order

	Due  Histogram `json:"due"`  // latency of served requests from their due time
	Sent Histogram `json:"sent"` // latency of served requests from sending the last attempt, as a closed-loop tool reports it
}

func newTally(digits int) Tally { return Tally{Due: newHistogram(digits), Sent: newHistogram(digits)} }

// completion describes a request that has ended.
type completion struct {
	class                int
	due, sentAt, endedAt time.Time // due is that of the first attempt, sentAt that of the last
	late                 time.Duration
	attempts, resent     uint64
	attemptOutcomes      [numOutcomes]uint64
	outcome              Outcome
	latencyObjective     time.Duration
}

func (t *Tally) add(d *completion) {
	t.Requests++
	t.Attempts += d.attempts
	t.Resent += d.resent
	for i, n := range d.attemptOutcomes {
		t.AttemptOutcomes[i] += n
	}
	t.Outcomes[d.outcome]++
	if d.outcome != Served {
		return
	}
	if d.endedAt.Sub(d.due) <= d.latencyObjective {
		t.InObjective++
	}
	t.Due.record(d.endedAt.Sub(d.due))
	t.Sent.record(d.endedAt.Sub(d.sentAt))
}

func (t *Tally) merge(o *Tally) {
	t.Requests, t.Attempts, t.Resent, t.InObjective = t.Requests+o.Requests, t.Attempts+o.Attempts, t.Resent+o.Resent, t.InObjective+o.InObjective
	for i := range t.Outcomes {
		t.Outcomes[i] += o.Outcomes[i]
		t.AttemptOutcomes[i] += o.AttemptOutcomes[i]
	}
	t.Due.packed.Merge(o.Due.packed)
	t.Sent.packed.Merge(o.Sent.packed)
}

// Second has the results of the requests that were due in one second.
type Second struct {
	LateUs  int64   `json:"late_us"` // longest delay of a first attempt by the generator
	Classes []Tally `json:"classes"` // in the plan's order; empty = nothing was due
}

// Result is the result of a run, or of one process's part of it.
type Result struct {
	Partial         bool          `json:"partial"`         // the run was interrupted
	Ran             time.Duration `json:"ran_ns"`          // time from the start to the end of the last request
	Late            Histogram     `json:"late"`            // delay of first attempts, without waits for a connection
	Stall           time.Duration `json:"stall_ns"`        // longest delay of the process's timers
	ConnWaits       uint64        `json:"held"`            // attempts that waited because the limit on connections was reached
	LongestConnWait time.Duration `json:"held_longest_ns"` // the longest of these waits
	ConnsOpened     uint64        `json:"opened"`          // number of connections opened
	Classes         []Tally       `json:"classes"`         // in the plan's order
	Seconds         []Second      `json:"seconds"`         // by due time
}

func newTallies(n, digits int) (all []Tally) {
	for range n {
		all = append(all, newTally(digits))
	}
	return all
}

func newResult(classes int) *Result {
	return &Result{Late: newHistogram(fineDigits), Classes: newTallies(classes, fineDigits)}
}

// second returns the i-th second, with a tally for each class.
func (r *Result) second(i int) *Second {
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	s := &r.Seconds[i]
	if len(s.Classes) == 0 {
		s.Classes = newTallies(len(r.Classes), coarseDigits)
	}
	return s
}

// Merge adds up the results of the parts of one plan. It modifies and returns the first, which must not be used afterwards.
func Merge(parts ...*Result) (*Result, error) {
	if len(parts) == 0 {
		return nil, errors.New("no results to merge")
	}
	all := parts[0]
	for _, p := range parts[1:] {
		if len(p.Classes) != len(all.Classes) {
			return nil, fmt.Errorf("results with %d and with %d classes are not of one plan", len(all.Classes),
				len(p.Classes))
		}
		all.Partial = all.Partial || p.Partial
		all.Ran, all.Stall = max(all.Ran, p.Ran), max(all.Stall, p.Stall)
		all.ConnWaits, all.LongestConnWait = all.ConnWaits+p.ConnWaits, max(all.LongestConnWait, p.LongestConnWait)
		all.ConnsOpened += p.ConnsOpened
		all.Late.packed.Merge(p.Late.packed)
		for i := range all.Classes {
			all.Classes[i].merge(&p.Classes[i])
		}
		for i := range p.Seconds {
			s := all.second(i)
			s.LateUs = max(s.LateUs, p.Seconds[i].LateUs)
			for j := range p.Seconds[i].Classes {
				s.Classes[j].merge(&p.Seconds[i].Classes[j])
			}
		}
	}
	return all, nil
}

// recorder collects completed requests in a Result. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mutex  sync.Mutex
	result *Result
}

func (r *recorder) recordCompletion(d *completion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Late.record(d.late)
	r.result.Classes[d.class].add(d)
	s := r.result.second(int(d.due.Sub(r.start) / time.Second))
	s.LateUs = max(s.LateUs, d.late.Microseconds())
	s.Classes[d.class].add(d)
}

func (r *recorder) recordStall(d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Stall = max(r.result.Stall, d)
}
