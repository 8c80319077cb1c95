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

// Outcome is how a try ended, as its client has seen it, and a request by its last try.
type Outcome uint8

// The ends. Each try has exactly one.
const (
	Served      = Outcome(fakes.Served)      // 200
	Rejected     = Outcome(fakes.Rejected)    // 429 or 503
	Failed      = Outcome(fakes.Failed)      // any other answer, or one that broke off
	Lost        = Outcome(fakes.Lost)        // the connection ended without an answer
	TimedOut    = Outcome(fakes.TimedOut)    // nothing came while the client waited, or it got no connection in that time
	Unreachable = Outcome(fakes.Unreachable) // no connection came up
	ends        = Unreachable + 1
)

var endNames = [ends]string{"served", "refused", "failed", "lost", "timed_out", "unreachable"}

func (e Outcome) String() string { return endNames[e] }

func endNamed(name string) (Outcome, bool) {
	i := slices.Index(endNames[:], name)
	return Outcome(i), i >= 0
}

const (
	fineDigits   = 3 // of histograms over a whole run: values are within 0.1%
	coarseDigits = 2 // of those over one second: within 1%
	longestUs    = int64(time.Hour / time.Microsecond)
)

// Histogram is a histogram of durations in microseconds. Only what occurs takes memory. It is not safe for concurrent use.
type Histogram struct{ packed *hdrhistogram.PackedHistogram }

func newHist(digits int) Histogram { return Histogram{hdrhistogram.NewPacked(1, longestUs, digits)} }

func (h Histogram) record(d time.Duration) {
	_ = h.packed.RecordValue(min(max(0, d.Microseconds()), longestUs)) // in range, so that it can't fail
}

// Count is how many were recorded.
func (h Histogram) Count() uint64 { return uint64(h.packed.TotalCount()) }

// Quantile is the duration that a share q of total is not above, where what was not recorded counts as endless: false
// says that it is. total is at least Count. It is the nearest rank, as exact as the histogram is.
func (h Histogram) Quantile(q float64, total uint64) (time.Duration, bool) {
	rank := max(1, math.Ceil(q*float64(total)-1e-6)) // 0.99*1000 is a little above 990
	if rank > float64(h.Count()) {
		return 0, false
	}
	us := h.packed.ValueAtPercentile(100 * rank / float64(h.Count()))
	return time.Duration(us) * time.Microsecond, true
}

// MarshalJSON writes the library's own encoding, which is compressed and known to other HdrHistogram tools.
func (h Histogram) MarshalJSON() ([]byte, error) {
	raw, err := h.packed.Encode()
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(raw))
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (h *Histogram) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	packed, err := hdrhistogram.DecodePacked([]byte(text))
	h.packed = packed
	return err
}

// Tally counts requests of one class.
type Tally struct {
	Requests    uint64       `json:"asked"`    // requests, each with all its tries
	Attempts    uint64       `json:"tries"`    // sendings, or attempts to
	Resent      uint64       `json:"resent"`   // tries that crossed the close of a kept connection and went out once more
	InObjective uint64       `json:"in_aim"`   // requests served within their latency objective, from when they were due
	Outcomes        [ends]uint64 `json:"ends"`     // of requests, in the order of the constants
	AttemptOutcomes [ends]uint64 `json:"try_ends"` // of tries

	Due  Histogram `json:"due"`  // from when a request was due to its answer; requests that were served
	Sent Histogram `json:"sent"` // from when the try that was served was sent to its answer: what a tool that waits reports
}

func newTally(digits int) Tally { return Tally{Due: newHist(digits), Sent: newHist(digits)} }

// done is a request that has ended.
type done struct {
	class            int
	due, sent, end   time.Time // sent is of the last try
	late             time.Duration
	tries, resent    uint64
	tryEnds          [ends]uint64
	last             Outcome
	latencyObjective time.Duration
}

func (t *Tally) add(d *done) {
	t.Requests++
	t.Attempts += d.tries
	t.Resent += d.resent
	for i, n := range d.tryEnds {
		t.AttemptOutcomes[i] += n
	}
	t.Outcomes[d.last]++
	if d.last != Served {
		return
	}
	if d.end.Sub(d.due) <= d.latencyObjective {
		t.InObjective++
	}
	t.Due.record(d.end.Sub(d.due))
	t.Sent.record(d.end.Sub(d.sent))
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

// Second is what was due in one second.
type Second struct {
	LateUs  int64   `json:"late_us"` // the latest first try
	Classes []Tally `json:"classes"` // in the plan's order; empty = nothing was due
}

// Result is what came of a run, or of one process's part of it.
type Result struct {
	Partial    bool          `json:"partial"` // arrivals were called off
	Ran        time.Duration `json:"ran_ns"`  // until the last request had ended
	Late       Histogram          `json:"late"`    // of first tries, beyond waits for a connection
	Stall      time.Duration `json:"stall_ns"`
	ConnWaits       uint64        `json:"held"` // tries that waited because no further connection was allowed
	LongestConnWait time.Duration `json:"held_longest_ns"`
	ConnsOpened     uint64        `json:"opened"`  // connections
	Classes    []Tally       `json:"classes"` // in the plan's order
	Seconds    []Second      `json:"seconds"` // by when requests were due
}

func newTallies(n, digits int) (all []Tally) {
	for range n {
		all = append(all, newTally(digits))
	}
	return all
}

func newResult(classes int) *Result {
	return &Result{Late: newHist(fineDigits), Classes: newTallies(classes, fineDigits)}
}

// second returns the given second, with a tally for each class.
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

// Merge adds up the results of the parts of one plan. It takes over the first, which must not be used any more.
func Merge(parts ...*Result) (*Result, error) {
	if len(parts) == 0 {
		return nil, errors.New("no results to merge")
	}
	all := parts[0]
	for _, p := range parts[1:] {
		if len(p.Classes) != len(all.Classes) {
			return nil, fmt.Errorf("results of %d and of %d classes: they are not of one plan", len(all.Classes),
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

// recorder takes down what ends. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mutex  sync.Mutex
	result *Result
}

func (r *recorder) done(d *done) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Late.record(d.late)
	r.result.Classes[d.class].add(d)
	s := r.result.second(int(d.due.Sub(r.start) / time.Second))
	s.LateUs = max(s.LateUs, d.late.Microseconds())
	s.Classes[d.class].add(d)
}

func (r *recorder) stall(d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Stall = max(r.result.Stall, d)
}
