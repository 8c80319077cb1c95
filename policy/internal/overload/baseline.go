package overload

import "math"

const (
	minBaselineAnswers = 16    // answers from which the baseline is known,
	maxBaselineAnswers = 64    // and how many of the newest are remembered for it
	baselineDownStep   = 0.02  // part of the way down to the newest answers' median that the baseline goes with each,
	baselineUpStep     = 0.002 // and up
	baselineDriftTime  = 60e3  // ms in which it grows by e while answers are slow: work and servers change
)

// baseline is what answers of one kind take while servers are free, learned from the newest of them, however old they are.
type baseline struct {
	target     float64 // latency target in ms; 0 = none
	median     float64 // the baseline in ms; 0 = not known yet
	durations  [maxBaselineAnswers]float64
	next       int // place in durations
	count      int // of durations that are known
	answeredAt float64
	sorted     []float64 // scratch space of add
}

// add takes an answer at now. The median follows the answers while they are not slow: down quickly, up slowly.
func (b *baseline) add(now, duration float64) {
	b.durations[b.next] = duration
	b.next = (b.next + 1) % maxBaselineAnswers
	b.count = min(b.count+1, maxBaselineAnswers)
	passed := now - b.answeredAt
	b.answeredAt = now
	if b.count < minBaselineAnswers {
		return
	}
	b.sorted = append(b.sorted[:0], b.durations[:b.count]...)
	recent := quantile(0.5, b.sorted)
	switch {
	case b.median == 0:
		b.median = recent
	case recent < b.median:
		b.median += baselineDownStep * (recent - b.median)
	case recent < slowMultiple*b.median:
		b.median += baselineUpStep * (recent - b.median)
	default:
		b.median *= math.Exp(passed / baselineDriftTime)
	}
	if b.target > 0 { // an instance that starts in the middle of an overload has seen nothing else
		b.median = min(b.median, b.target/slowMultiple)
	}
}
