package keepalive

import (
	"math"
	"time"
)

// Steps of the curves. The first takes all below the unit, the last what lies beyond.
const (
	steps = 40
	ratio = 1.35
	unit  = 5 * time.Millisecond // of idle time; that of attempts carried is 1
)

// Strengths of the priors, in attempts.
const (
	stepPrior    = 8.0  // of a step of the fleet's curves, centred on its neighbours
	serverPrior  = 16.0 // likewise, of a server's
	near         = 0.5  // what a neighbour counts for; one further off, the square of that, and so on
	nearPrior    = 0.25 // part of the above with which the neighbours' mean is centred on the fleet's curve
	newConnPrior = 8.0  // of new connections, centred on reused ones
	shownPrior   = 2.0  // of the share of breaks that a pause shows
	meanPrior    = 4.0  // of a server's mean time, centred on the fleet's
	faded        = 0.01 // less is no evidence
	little       = 1e-9
)

var (
	perLog = 1 / math.Log2(ratio)
	// froms has the least value of each step, in units.
	froms = func() (from [steps]float64) {
		for i := 1; i < steps; i++ {
			from[i] = math.Pow(ratio, float64(i-1))
		}
		return from
	}()
)

// stepOf returns the step of a value in units.
func stepOf(v float64) int {
	if !(v >= 1) {
		return 0
	}
	return min(1+int(math.Log2(v)*perLog+little), steps-1)
}

func idleStep(d time.Duration) int { return stepOf(float64(d) / float64(unit)) }

// tally counts, in the Estimator's weights, attempts and those of them that broke.
type tally struct{ calls, broken float32 }

func (t *tally) learn(calls, broken float32) { t.calls, t.broken = t.calls+calls, t.broken+broken }

func (t *tally) scale(by float32) { t.calls, t.broken = t.calls*by, t.broken*by }

func (t *tally) subtract(o tally) {
	t.calls = max(0, t.calls-o.calls)
	t.broken = min(max(0, t.broken-o.broken), t.calls)
}

// estimate is the mean of the Beta posterior.
func (t tally) estimate(scale float32, strength, prior float64) float64 {
	return (float64(t.broken*scale) + strength*prior) / (float64(t.calls*scale) + strength)
}

// mean is a weighted mean of times, in seconds.
type mean struct{ weight, sum float32 }

func (m *mean) learn(w float32, d time.Duration) {
	m.weight, m.sum = m.weight+w, m.sum+w*float32(max(0, d).Seconds())
}

func (m *mean) scale(by float32) { m.weight, m.sum = m.weight*by, m.sum*by }

// estimate shrinks the mean towards the prior; without one (0) it is the mean itself.
func (m mean) estimate(scale float32, prior float64) float64 {
	weight, sum := float64(m.weight*scale), float64(m.sum*scale)
	if prior > 0 {
		return (sum + meanPrior*prior) / (weight + meanPrior)
	}
	return sum / max(weight, faded)
}

// evidence is what attempts have shown, of one server or of all.
type evidence struct {
	onNewConns    tally        // on new connections
	idle, carried [steps]tally // on reused ones
	dial          mean
	broken        float32 // of all attempts
}

// learn adds an attempt of weight w, and what of it was lost by the idle time and by the attempts carried.
func (e *evidence) learn(u Use, w, byIdle, byCarried float32) {
	e.broken += byIdle + byCarried
	if !u.isKept() {
		e.onNewConns.learn(w, byIdle+byCarried)
		return
	}
	e.idle[idleStep(u.Idle)].learn(w, byIdle)
	e.carried[stepOf(float64(u.Carried))].learn(w, byCarried)
}

// idleShareOfBreak is the part of a break that the idle time is to answer for, the rest being that of the attempts carried. e holds
// all breaks against both. What stands out from the mean by chance counts little beside what does for a reason, hence
// the squares; where nothing stands out, it is the idle time.
func (e *evidence) idleShareOfBreak(u Use, scale float32) float64 {
	var kept tally
	for _, t := range e.idle {
		kept.learn(t.calls, t.broken)
	}
	usual := kept.estimate(scale, faded, 0)
	x, y := squaredExcess(&e.idle, idleStep(u.Idle), scale, usual), squaredExcess(&e.carried, stepOf(float64(u.Carried)), scale, usual)
	x += usual*usual + little
	return x / (x + y)
}

// squaredExcess is the square of what a step and its neighbours lie above the mean.
func squaredExcess(of *[steps]tally, step int, scale float32, usual float64) float64 {
	t := of[step]
	for _, i := range []int{step - 1, step + 1} {
		if i >= 0 && i < steps {
			t.learn(near*of[i].calls, near*of[i].broken)
		}
	}
	more := max(0, t.estimate(scale, nearPrior, usual)-usual)
	return more * more
}

func (e *evidence) scale(by float32) {
	e.onNewConns.scale(by)
	e.dial.scale(by)
	e.broken *= by
	for i := range steps {
		e.idle[i].scale(by)
		e.carried[i].scale(by)
	}
}

// subtract leaves out what o counted of attempts.
func (e *evidence) subtract(o *evidence) {
	e.onNewConns.subtract(o.onNewConns)
	e.broken = max(0, e.broken-o.broken)
	for i := range steps {
		e.idle[i].subtract(o.idle[i])
		e.carried[i].subtract(o.carried[i])
	}
}
