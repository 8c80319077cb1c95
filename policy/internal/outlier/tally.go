// Package outlier weighs the outcomes of requests at a server, each the less the older it is. It reads no clock: times are in
// milliseconds from any fixed origin.
package outlier

import "math"

// HalfLife is the time in ms in which outcomes lose half their weight; then a bad server is tried again.
const HalfLife = 4e3

const (
	priorSuccesses = 2.0  // weight of a prior success: one failure alone ejects no server
	successShrink  = 0.85 // what one success leaves of the weight of failures

	silentMultiple    = 6.0 // expected answers that are missing before a server counts as silent, over all its attempts
	minSilentMultiple = 2.0 // the same for each of them, however many there are
)

// Tally is fading counts of successes and failures, as they were at At.
type Tally struct{ Successes, Failures, At float64 }

// FailureRate is the probability of a failure.
func (t *Tally) FailureRate(now float64) float64 {
	if t.Successes+t.Failures == 0 { // as at most servers: fading those would take most of the time
		return 0
	}
	decay := Decay(now - t.At)
	t.Successes *= decay
	t.Failures *= decay
	t.At = now
	return t.Failures / (t.Successes + t.Failures + priorSuccesses)
}

// AddSuccess counts a success.
func (t *Tally) AddSuccess(now float64) {
	t.FailureRate(now)
	t.At = now
	t.Successes++
	t.Failures *= successShrink
}

// AddFailure counts a failure of that weight.
func (t *Tally) AddFailure(now, weight float64) {
	t.FailureRate(now)
	t.At = now
	t.Failures += weight
}

// IsSilent reports whether a server with so many attempts in flight has given no answer for far longer than one is expected to
// take. The more attempts there are, the sooner.
func IsSilent(inFlight int, silentFor, expected float64) bool {
	return inFlight > 0 && silentFor > expected*max(minSilentMultiple, silentMultiple/float64(inFlight))
}

// Decay is what an outcome of that age still weighs.
func Decay(age float64) float64 { return math.Exp2(-age / HalfLife) }
