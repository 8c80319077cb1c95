package keepalive

import (
	"math"
	"time"
)

// Steps of the curves. The first takes all below the unit, the last what lies beyond.
const (
	steps = 40
	ratio = 1.35
	unit  = 5 * time.Millisecond // of idle time; that of calls carried is 1
)

// Strengths of the priors, in calls.
const (
	stepPrior     = 8.0  // of a step of the fleet's curves, centred on its neighbours
	providerPrior = 16.0 // likewise, of a provider's
	near          = 0.5  // what a neighbour counts for; one further off, the square of that, and so on
	nearPrior     = 0.25 // part of the above with which the neighbours' mean is centred on the fleet's curve
	freshPrior    = 8.0  // of new connections, centred on kept ones
	shownPrior    = 2.0  // of the share of breaks that a pause shows
	meanPrior     = 4.0  // of a provider's mean time, centred on the fleet's
	faded         = 0.01 // less is no evidence
	little        = 1e-9
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

// tally counts, in the Book's weights, calls and those of them that broke.
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

func (d *breaks) scale(by float32) {
	for i := range d.shown {
		d.shown[i].scale(by)
	}
	d.late.scale(by)
}

// evidence is what calls have shown, of one provider or of all.
type evidence struct {
	fresh         tally        // on new connections
	idle, carried [steps]tally // on kept ones
	dial          mean
	broken        float32 // of all calls
}

// learn adds a call of weight w, and what of it was lost by the idle time and by the calls carried.
func (e *evidence) learn(u Use, w, byIdle, byCarried float32) {
	e.broken += byIdle + byCarried
	if !u.kept() {
		e.fresh.learn(w, byIdle+byCarried)
		return
	}
	e.idle[idleStep(u.Idle)].learn(w, byIdle)
	e.carried[stepOf(float64(u.Carried))].learn(w, byCarried)
}

// blame is the part of a break that the idle time is to answer for, the rest being that of the calls carried. e holds
// all breaks against both. What stands out from the mean by chance counts little beside what does for a reason, hence
// the squares; where nothing stands out, it is the idle time.
func (e *evidence) blame(u Use, scale float32) float64 {
	var kept tally
	for _, t := range e.idle {
		kept.learn(t.calls, t.broken)
	}
	usual := kept.estimate(scale, faded, 0)
	x, y := risen(&e.idle, idleStep(u.Idle), scale, usual), risen(&e.carried, stepOf(float64(u.Carried)), scale, usual)
	x += usual*usual + little
	return x / (x + y)
}

// risen is the square of what a step and its neighbours lie above the mean.
func risen(of *[steps]tally, step int, scale float32, usual float64) float64 {
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
	e.fresh.scale(by)
	e.dial.scale(by)
	e.broken *= by
	for i := range steps {
		e.idle[i].scale(by)
		e.carried[i].scale(by)
	}
}

// subtract leaves out what o counted of calls.
func (e *evidence) subtract(o *evidence) {
	e.fresh.subtract(o.fresh)
	e.broken = max(0, e.broken-o.broken)
	for i := range steps {
		e.idle[i].subtract(o.idle[i])
		e.carried[i].subtract(o.carried[i])
	}
}

// curve is the probability of a break by step, which never falls.
type curve [steps]float32

// belief is what is concluded from evidence.
type belief struct {
	fresh         float64 // probability that a call on a new connection breaks
	used          float64 // that one on a kept connection does, on the whole
	idle, carried curve   // that one breaks by the idle time, which takes in what happens to new ones; by calls carried
	renewal       curve   // by calls carried: breaks that a new connection would save until it has carried as many
	dial          float64 // seconds
}

// draw concludes from e, which belongs to a part of the fleet; strength is that of the priors that the fleet gives.
func (k *belief) draw(e *evidence, fleet *belief, strength float64, scale float32) {
	k.idle.draw(&e.idle, &fleet.idle, strength, scale)
	k.carried.draw(&e.carried, &fleet.carried, strength, scale)
	for i := 2; i < steps; i++ {
		k.renewal[i] = k.renewal[i-1] + (k.carried[i]-k.carried[i-1])*float32(froms[i])
	}
	var kept tally
	for i := range steps {
		kept.learn(e.idle[i].calls, e.idle[i].broken+e.carried[i].broken)
	}
	k.used = kept.estimate(scale, strength, fleet.used)
	better := max(0, fleet.used-fleet.fresh) // new ones than kept ones, elsewhere
	k.fresh = e.fresh.estimate(scale, freshPrior, max(0, k.used-better))
	k.dial = e.dial.estimate(scale, fleet.dial)
}

// join is the probability that one of two things happens.
func join(x, y float32) float64 { return 1 - (1-float64(x))*(1-float64(y)) }

// breaks returns the probability that the call breaks, and how much of it a new connection has as well.
func (k *belief) breaks(u Use) (p, usual float64) {
	if !u.kept() {
		return k.fresh, k.fresh
	}
	return k.kept(idleStep(u.Idle), stepOf(float64(u.Carried)))
}

func (k *belief) kept(idle, carried int) (p, usual float64) {
	p = join(k.idle[idle], k.carried[carried])
	return p, min(p, k.fresh)
}

// draw estimates each step from its own calls and those at its neighbours, then pools adjacent violators. Steps without
// calls weigh next to nothing, so that far ones that nothing is known of do not water down what is.
func (c *curve) draw(of *[steps]tally, prior *curve, strength float64, scale float32) {
	var around, own [steps]tally
	for i, t := range of { // one with many calls must not speak for those far off
		own[i] = t
		own[i].scale(scale * float32(min(1, strength/(float64(t.calls*scale)+little))))
	}
	var left, right tally
	for i := range steps {
		j := steps - 1 - i
		around[i].learn(left.calls, left.broken)
		around[j].learn(right.calls, right.broken)
		left.learn(own[i].calls, own[i].broken)
		right.learn(own[j].calls, own[j].broken)
		left.scale(near)
		right.scale(near)
	}
	var blocks [steps]struct {
		value, weight float32
		end           int
	}
	n := 0
	for i := range steps {
		m := around[i].estimate(1, strength*nearPrior, float64(prior[i]))
		blocks[n].value = float32(of[i].estimate(scale, strength, m))
		blocks[n].weight, blocks[n].end = of[i].calls*scale+faded, i+1
		for n++; n > 1 && blocks[n-2].value > blocks[n-1].value; n-- {
			x, y := &blocks[n-2], &blocks[n-1]
			x.value = (x.value*x.weight + y.value*y.weight) / (x.weight + y.weight)
			x.weight, x.end = x.weight+y.weight, y.end
		}
	}
	i := 0
	for _, b := range blocks[:n] {
		for ; i < b.end; i++ {
			c[i] = b.value
		}
	}
}
