// Package outlier computes the failure rate of a server from the outcomes of requests, whose weight decays with their age. It
// reads no clock: times are in milliseconds from any fixed origin.
package outlier

import "math"

// HalfLife is the time in ms in which outcomes lose half their weight, so that an ejected server is retried.
const HalfLife = 4e3

const (
	priorSuccesses      = 2.0  // successes assumed before any outcome: one failure alone ejects no server
	successFailureDecay = 0.85 // factor by which a success reduces the weight of failures

	unresponsiveMultiple    = 6.0 // expected response times until a server is unresponsive, times attempts in flight
	minUnresponsiveMultiple = 2.0 // lower bound of these expected response times, however many attempts are in flight
)

// Tally is the decaying counts of successes and failures, as they were at time At.
type Tally struct{ Successes, Failures, At float64 }

// FailureRate returns the probability of a failure at now.
func (t *Tally) FailureRate(now float64) float64 {
	if t.Successes+t.Failures == 0 { // true for most servers: computing their decay would take most of the CPU time
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
	t.Failures *= successFailureDecay
}

// AddFailure counts a failure with the given weight.
func (t *Tally) AddFailure(now, weight float64) {
	t.FailureRate(now)
	t.At = now
	t.Failures += weight
}

// IsUnresponsive reports whether a server has attempts in flight but has sent no response for far longer than the expected
// response time. The more attempts are in flight, the shorter that time.
func IsUnresponsive(inFlight int, noResponseFor, expected float64) bool {
	return inFlight > 0 && noResponseFor > expected*max(minUnresponsiveMultiple, unresponsiveMultiple/float64(inFlight))
}

// Decay returns the weight of an outcome of the given age in ms.
func Decay(age float64) float64 { return math.Exp2(-age / HalfLife) }
