// Package outlier weighs what spoke for and against a server, each outcome the less the older it is. It reads no clock: times
// are in milliseconds from any fixed origin.
package outlier

import "math"

// HalfLife is the time in which outcomes lose half their weight; then a bad server is tried again.
const HalfLife = 4e3

const (
	priorSuccesses = 2.0  // weight of a server's innocence: one failure alone takes no server out
	successShrink  = 0.85 // what one success leaves of the weight of failures
)

// Tally is fading evidence for and against a server, as it was at At.
type Tally struct{ Successes, Failures, At float64 }

// FailureRate is the probability of a failure.
func (t *Tally) FailureRate(now float64) float64 {
	if t.Successes+t.Failures == 0 { // as of most: fading them would take most of the time
		return 0
	}
	decay := Decay(now - t.At)
	*t = Tally{t.Successes * decay, t.Failures * decay, now}
	return t.Failures / (t.Successes + t.Failures + priorSuccesses)
}

// Add takes a failure of that weight, or a success if it is 0.
func (t *Tally) Add(now, weight float64) {
	t.FailureRate(now)
	if t.Failures, t.At = t.Failures+weight, now; weight == 0 {
		t.Successes, t.Failures = t.Successes+1, t.Failures*successShrink
	}
}

// Decay is what an outcome of that age still weighs.
func Decay(age float64) float64 { return math.Exp2(-age / HalfLife) }
