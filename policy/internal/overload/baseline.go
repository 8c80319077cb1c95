package overload

import "math"

// baseline is what answers of one kind take unhindered, learned from the newest of them, however old they are.
type baseline struct {
	target float64 // latency target in ms
	took   [baselineMost]float64
	next   int
	known  int // of them
	median float64
	at     float64 // of the last answer
	sorted []float64
}

// learn takes an answer at now. The median follows the answers while they are not slow: down quickly, up slowly.
func (b *baseline) learn(now, took float64) {
	b.took[b.next] = took
	b.next = (b.next + 1) % baselineMost
	b.known = min(b.known+1, baselineMost)
	passed := now - b.at
	if b.at = now; b.known < baselineLeast {
		return
	}
	b.sorted = append(b.sorted[:0], b.took[:b.known]...)
	usual := quantile(0.5, b.sorted)
	switch {
	case b.median == 0:
		b.median = usual
	case usual < b.median:
		b.median += baselineDown * (usual - b.median)
	case usual < slowTimes*b.median:
		b.median += baselineUp * (usual - b.median)
	default:
		b.median *= math.Exp(passed / baselineDrift)
	}
	if b.target > 0 { // who starts in the middle of an overload has seen nothing else
		b.median = min(b.median, b.target/slowTimes)
	}
}
