package keepalive

import (
	"math"
	"time"
)

// Steps of the curves, a geometric series. The first step covers all values below one unit, the last is unbounded.
const (
	stepCount = 40
	stepRatio = 1.35                 // start of a step divided by that of the previous one
	idleUnit  = 5 * time.Millisecond // unit of idle time; the unit of attempts carried is 1
)

// Strengths of the priors, each as the number of attempts that the prior counts for, and other weights of the estimates.
const (
	stepPrior             = 8.0  // of a step of the fleet's curves, centered on the neighboring steps
	serverPrior           = 16.0 // of a step of a server's curves, centered on the neighboring steps
	neighborWeight        = 0.5  // factor on the attempts at an adjacent step; neighborWeight^n at distance n
	neighborPriorFraction = 0.25 // of a step's neighbors' mean, as a fraction of the step's prior; centered on the fleet's curve
	newConnPrior          = 8.0  // of the break probability on new connections, centered on that on reused ones
	detectedPrior         = 2.0  // of the fraction of breaks detected within a last-byte delay
	meanPrior             = 4.0  // of a server's mean dial time, centered on the fleet's
	minEvidence           = 0.01 // evidence below this weight counts as none
	epsilon               = 1e-9 // keeps divisors above 0 and absorbs rounding errors
)

var (
	// stepsPerOctave is the number of steps in which values double.
	stepsPerOctave = 1 / math.Log2(stepRatio)
	// stepStarts holds the lowest value of each step, in units.
	stepStarts = func() (from [stepCount]float64) {
		for i := 1; i < stepCount; i++ {
			from[i] = math.Pow(stepRatio, float64(i-1))
		}
		return from
	}()
)

// stepOf returns the step of the curves that covers v: an idle time in units of idleUnit, or a number of attempts carried.
func stepOf(v float64) int {
	if !(v >= 1) {
		return 0
	}
	return min(1+int(math.Log2(v)*stepsPerOctave+epsilon), stepCount-1)
}

func idleStep(d time.Duration) int { return stepOf(float64(d) / float64(idleUnit)) }

// tally counts attempts and those of them that broke, in weights of the Estimator.
type tally struct{ attempts, broken float32 }

func (t *tally) add(attempts, broken float32) {
	t.attempts, t.broken = t.attempts+attempts, t.broken+broken
}

func (t *tally) scale(by float32) { t.attempts, t.broken = t.attempts*by, t.broken*by }

func (t *tally) subtract(o tally) {
	t.attempts = max(0, t.attempts-o.attempts)
	t.broken = min(max(0, t.broken-o.broken), t.attempts)
}

// estimate returns the mean of the Beta posterior, given the strength and mean of its prior; scale converts the weights to
// attempts.
func (t tally) estimate(scale float32, strength, prior float64) float64 {
	return (float64(t.broken*scale) + strength*prior) / (float64(t.attempts*scale) + strength)
}

// mean accumulates a weighted mean of times, in seconds.
type mean struct{ weight, sum float32 }

func (m *mean) add(w float32, d time.Duration) {
	m.weight, m.sum = m.weight+w, m.sum+w*float32(max(0, d).Seconds())
}

func (m *mean) scale(by float32) { m.weight, m.sum = m.weight*by, m.sum*by }

// estimate returns the mean, shrunk towards the prior unless that is 0.
func (m mean) estimate(scale float32, prior float64) float64 {
	weight, sum := float64(m.weight*scale), float64(m.sum*scale)
	if prior > 0 {
		return (sum + meanPrior*prior) / (weight + meanPrior)
	}
	return sum / max(weight, minEvidence)
}

// evidence holds the counts of attempts and breaks of one server or of all.
type evidence struct {
	onNewConns    tally            // attempts on new connections
	idle, carried [stepCount]tally // attempts on reused connections, by step; each attempt counts in both
	dial          mean             // time to establish a connection
	broken        float32          // attempts that broke, on new and reused connections
}

// add counts an attempt of weight w. byIdle and byCarried are the parts of a break attributed to the idle time and to the
// attempts carried; 0 if the attempt did not break.
func (e *evidence) add(u Use, w, byIdle, byCarried float32) {
	e.broken += byIdle + byCarried
	if !u.isReused() {
		e.onNewConns.add(w, byIdle+byCarried)
		return
	}
	e.idle[idleStep(u.Idle)].add(w, byIdle)
	e.carried[stepOf(float64(u.Carried))].add(w, byCarried)
}

// idleAttribution returns the part of a break attributed to the idle time; the rest is attributed to the attempts carried.
// In e every break counts in full against both. The shares are in proportion to the squared excess of each step over the mean,
// so that chance deviations count little. Without any excess the break is attributed to the idle time.
func (e *evidence) idleAttribution(u Use, scale float32) float64 {
	var reused tally
	for _, t := range e.idle {
		reused.add(t.attempts, t.broken)
	}
	average := reused.estimate(scale, minEvidence, 0)
	idleExcess, carriedExcess := squaredExcess(&e.idle, idleStep(u.Idle), scale, average), squaredExcess(&e.carried, stepOf(float64(u.Carried)), scale, average)
	idleExcess += average*average + epsilon
	return idleExcess / (idleExcess + carriedExcess)
}

// squaredExcess returns the square of the excess of a step, estimated with its neighbors, over the average.
func squaredExcess(of *[stepCount]tally, step int, scale float32, average float64) float64 {
	t := of[step]
	for _, i := range []int{step - 1, step + 1} {
		if i >= 0 && i < stepCount {
			t.add(neighborWeight*of[i].attempts, neighborWeight*of[i].broken)
		}
	}
	excess := max(0, t.estimate(scale, neighborPriorFraction, average)-average)
	return excess * excess
}

func (e *evidence) scale(by float32) {
	e.onNewConns.scale(by)
	e.dial.scale(by)
	e.broken *= by
	for i := range stepCount {
		e.idle[i].scale(by)
		e.carried[i].scale(by)
	}
}

// subtract removes the attempts counted in o. Dial times stay.
func (e *evidence) subtract(o *evidence) {
	e.onNewConns.subtract(o.onNewConns)
	e.broken = max(0, e.broken-o.broken)
	for i := range stepCount {
		e.idle[i].subtract(o.idle[i])
		e.carried[i].subtract(o.carried[i])
	}
}
