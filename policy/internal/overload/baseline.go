package overload

import "math"

const (
	minBaselineResponses = 16    // responses needed before the baseline is known
	maxBaselineResponses = 64    // newest responses that it is computed from
	baselineDownStep     = 0.02  // smoothing factor per response while the median of the newest responses is below the baseline
	baselineUpStep       = 0.002 // smoothing factor per response while that median is above the baseline but not slow
	baselineDriftTime    = 60e3  // ms in which it grows by a factor of e while responses are slow, since work and servers change
)

// baseline is the duration of one kind of request at servers with free capacity, estimated from its newest responses, whatever
// their age.
type baseline struct {
	target         float64 // latency target in ms; 0 = none
	median         float64 // the baseline in ms; 0 = not known yet
	durations      [maxBaselineResponses]float64
	next           int // index in durations of the next response
	count          int // number of durations recorded
	lastResponseAt float64
	sorted         []float64 // scratch space of add
}

// add adds the duration of a response at now. The baseline follows the responses while they are not slow: quickly if they get
// shorter, slowly if they get longer.
func (b *baseline) add(now, duration float64) {
	b.durations[b.next] = duration
	b.next = (b.next + 1) % maxBaselineResponses
	b.count = min(b.count+1, maxBaselineResponses)
	passed := now - b.lastResponseAt
	b.lastResponseAt = now
	if b.count < minBaselineResponses {
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
	if b.target > 0 { // an instance that starts during an overload has only slow responses to compare with
		b.median = min(b.median, b.target/slowMultiple)
	}
}
