package overload

import "math"

// baseline is what answers of one kind take unhindered, learned from the newest of them, however old they are.
type baseline struct {
	target     float64 // latency target in ms
	durations  [maxBaselineAnswers]float64
	next       int
	count      int // of them
	median     float64
	answeredAt float64 // of the last answer
	sorted     []float64
}

// add takes an answer at now. The median follows the answers while they are not slow: down quickly, up slowly.
func (b *baseline) add(now, duration float64) {
	b.durations[b.next] = duration
	b.next = (b.next + 1) % maxBaselineAnswers
	b.count = min(b.count+1, maxBaselineAnswers)
	passed := now - b.answeredAt
	if b.answeredAt = now; b.count < minBaselineAnswers {
		return
	}
	b.sorted = append(b.sorted[:0], b.durations[:b.count]...)
	usual := quantile(0.5, b.sorted)
	switch {
	case b.median == 0:
		b.median = usual
	case usual < b.median:
		b.median += baselineDownStep * (usual - b.median)
	case usual < slowMultiple*b.median:
		b.median += baselineUpStep * (usual - b.median)
	default:
		b.median *= math.Exp(passed / baselineDriftTime)
	}
	if b.target > 0 { // who starts in the middle of an overload has seen nothing else
		b.median = min(b.median, b.target/slowMultiple)
	}
}
