package keepalive

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// curve is the probability of a break by step, which never falls.
type curve [steps]float32

// posterior is what is concluded from evidence.
type posterior struct {
	onNewConns    float64 // probability that an attempt on a new connection breaks
	used          float64 // that one on a reused connection does, on the whole
	idle, carried curve   // that one breaks by the idle time, which takes in what happens to new ones; by attempts carried
	renewal       curve   // by attempts carried: breaks that a new connection would save until it has carried as many
	dial          float64 // seconds
}

// draw concludes from e, which belongs to a part of the fleet; strength is that of the priors that the fleet gives.
func (p *posterior) draw(e *evidence, fleet *posterior, strength float64, scale float32) {
	p.idle.draw(&e.idle, &fleet.idle, strength, scale)
	p.carried.draw(&e.carried, &fleet.carried, strength, scale)
	for i := 2; i < steps; i++ {
		p.renewal[i] = p.renewal[i-1] + (p.carried[i]-p.carried[i-1])*float32(froms[i])
	}
	var kept tally
	for i := range steps {
		kept.learn(e.idle[i].calls, e.idle[i].broken+e.carried[i].broken)
	}
	p.used = kept.estimate(scale, strength, fleet.used)
	better := max(0, fleet.used-fleet.onNewConns) // new ones than reused ones, elsewhere
	p.onNewConns = e.onNewConns.estimate(scale, newConnPrior, max(0, p.used-better))
	p.dial = e.dial.estimate(scale, fleet.dial)
}

// join is the probability that one of two things happens.
func join(x, y float32) float64 { return 1 - (1-float64(x))*(1-float64(y)) }

// breaks returns the probability that the attempt breaks, and how much of it a new connection has as well.
func (p *posterior) breaks(u Use) (probability, usual float64) {
	if !u.isKept() {
		return p.onNewConns, p.onNewConns
	}
	return p.kept(idleStep(u.Idle), stepOf(float64(u.Carried)))
}

// kept is breaks for a reused connection, by its steps.
func (p *posterior) kept(idle, carried int) (probability, usual float64) {
	probability = join(p.idle[idle], p.carried[carried])
	return probability, min(probability, p.onNewConns)
}

// draw estimates each step from its own attempts and those at its neighbours, then pools adjacent violators. Steps without
// attempts weigh next to nothing, so that far ones that nothing is known of do not water down what is.
func (c *curve) draw(of *[steps]tally, prior *curve, strength float64, scale float32) {
	var around, own [steps]tally
	for i, t := range of { // one with many attempts must not speak for those far off
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

// posterior returns what is thought of the server, which for an unknown one is what is thought of the fleet.
func (e *Estimator) posterior(now time.Time, server string) *posterior {
	clock := e.clockAt(now)
	scale := func() float32 { return float32(math.Exp2(e.base - clock)) }
	if e.stale || clock-e.drawnAt > refit {
		e.stale, e.drawnAt = false, clock
		e.draws++
		e.draw(scale())
	}
	r := e.servers[server]
	if r == nil {
		return &e.fleet
	}
	if r.draws != e.draws {
		r.draws = e.draws
		r.posterior.draw(&r.seen, &e.fleet, serverPrior, scale())
	}
	return &r.posterior
}

// draw concludes from the evidence what is thought of the fleet and of breaks. The servers with the most breaks are
// left out, one in eight and one more: an eighth of breaks all over the fleet is little, a lone culprit's are all.
func (e *Estimator) draw(scale float32) {
	suspects := e.suspects[:0]
	for _, r := range e.list {
		r.leftOut = false
		if r.seen.broken > 0 {
			suspects = append(suspects, r)
		}
	}
	slices.SortStableFunc(suspects, byBreaks)
	e.suspects = suspects
	common := e.all
	for _, r := range suspects[:min(len(suspects), 1+len(e.list)/8)] {
		r.leftOut = true
		common.subtract(&r.seen)
	}
	e.fleet.draw(&common, &posterior{}, stepPrior, scale)
	for kind := range e.breaks {
		d := &e.breaks[kind]
		hidden := 1.0
		for i, p := range pauses {
			hidden *= 1 - d.shown[i].estimate(scale, shownPrior, p.shows)
			e.shown[kind][i] = 1 - hidden
		}
		e.late[kind] = d.late.estimate(scale, 0)
	}
}

// byBreaks puts the server with the most breaks first.
func byBreaks(x, y *serverRecord) int { return cmp.Compare(y.seen.broken, x.seen.broken) }
