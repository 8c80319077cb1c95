package keepalive

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// curve holds the probability of a break by step; it is non-decreasing.
type curve [stepCount]float32

// posterior holds the estimates derived from evidence.
type posterior struct {
	onNewConns    float64 // probability that an attempt on a new connection breaks
	onReused      float64 // probability that an attempt on a reused connection breaks, averaged over all steps
	idle, carried curve   // probability of a break by idle time, which includes that on new connections, and by attempts carried
	renewal       curve   // expected breaks that a new connection avoids until it has carried as many attempts, by their number
	dial          float64 // seconds to establish a connection; 0 = unknown
}

// compute derives the estimates from e, the evidence of a server or of the fleet, with priors of the given strength that are
// centered on the fleet's estimates.
func (p *posterior) compute(e *evidence, fleet *posterior, strength float64, scale float32) {
	p.idle.fit(&e.idle, &fleet.idle, strength, scale)
	p.carried.fit(&e.carried, &fleet.carried, strength, scale)
	for i := 2; i < stepCount; i++ {
		p.renewal[i] = p.renewal[i-1] + (p.carried[i]-p.carried[i-1])*float32(stepStarts[i])
	}
	var reused tally
	for i := range stepCount {
		reused.add(e.idle[i].attempts, e.idle[i].broken+e.carried[i].broken)
	}
	p.onReused = reused.estimate(scale, strength, fleet.onReused)
	advantage := max(0, fleet.onReused-fleet.onNewConns) // of new connections over reused ones, fleet-wide
	p.onNewConns = e.onNewConns.estimate(scale, newConnPrior, max(0, p.onReused-advantage))
	p.dial = e.dial.estimate(scale, fleet.dial)
}

// eitherOf returns the probability that at least one of two independent events occurs.
func eitherOf(x, y float32) float64 { return 1 - (1-float64(x))*(1-float64(y)) }

// breakProbability returns the probability that an attempt on u breaks, and the part of it that a new connection has as well.
func (p *posterior) breakProbability(u Use) (probability, baseline float64) {
	if !u.isReused() {
		return p.onNewConns, p.onNewConns
	}
	return p.onReusedConn(idleStep(u.Idle), stepOf(float64(u.Carried)))
}

// onReusedConn returns the same as breakProbability for a reused connection, given the steps of its idle time and of the
// attempts carried.
func (p *posterior) onReusedConn(idle, carried int) (probability, baseline float64) {
	probability = eitherOf(p.idle[idle], p.carried[carried])
	return probability, min(probability, p.onNewConns)
}

// fit estimates each step from its own attempts and those of its neighbors, then makes the curve monotone by pooling
// adjacent violators. Steps without attempts get a negligible weight, so that they don't dilute those with evidence.
func (c *curve) fit(of *[stepCount]tally, prior *curve, strength float64, scale float32) {
	var around, own [stepCount]tally
	for i, t := range of { // cap the weight: a step with many attempts must not determine distant ones
		own[i] = t
		own[i].scale(scale * float32(min(1, strength/(float64(t.attempts*scale)+epsilon))))
	}
	var left, right tally
	for i := range stepCount {
		j := stepCount - 1 - i
		around[i].add(left.attempts, left.broken)
		around[j].add(right.attempts, right.broken)
		left.add(own[i].attempts, own[i].broken)
		right.add(own[j].attempts, own[j].broken)
		left.scale(neighborWeight)
		right.scale(neighborWeight)
	}
	var blocks [stepCount]struct {
		value, weight float32
		end           int
	}
	n := 0
	for i := range stepCount {
		m := around[i].estimate(1, strength*neighborPriorFraction, float64(prior[i]))
		blocks[n].value = float32(of[i].estimate(scale, strength, m))
		blocks[n].weight, blocks[n].end = of[i].attempts*scale+minEvidence, i+1
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

// posterior returns the estimates for the server, or those of the fleet if the server is unknown. It recomputes them if
// they are stale.
func (e *Estimator) posterior(now time.Time, server string) *posterior {
	clock := e.clockAt(now)
	scale := func() float32 { return float32(math.Exp2(e.weightBase - clock)) }
	if e.stale || clock-e.computedAt > recomputeInterval {
		e.stale, e.computedAt = false, clock
		e.generation++
		e.recompute(scale())
	}
	r := e.servers[server]
	if r == nil {
		return &e.fleet
	}
	if r.generation != e.generation {
		r.generation = e.generation
		r.posterior.compute(&r.observed, &e.fleet, serverPrior, scale())
	}
	return &r.posterior
}

// recompute derives the fleet's estimates and the fractions of breaks detected from the evidence. The servers with the most
// breaks, one in eight plus one, are excluded from the fleet's curves: if breaks occur fleet-wide, that loses only an eighth
// of the evidence; if a single server is at fault, it removes all breaks.
func (e *Estimator) recompute(scale float32) {
	candidates := e.exclusionCandidates[:0]
	for _, r := range e.serverList {
		r.excluded = false
		if r.observed.broken > 0 {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, byBreaks)
	e.exclusionCandidates = candidates
	shared := e.all
	for _, r := range candidates[:min(len(candidates), 1+len(e.serverList)/8)] {
		r.excluded = true
		shared.subtract(&r.observed)
	}
	e.fleet.compute(&shared, &posterior{}, stepPrior, scale)
	for kind := range e.breaks {
		d := &e.breaks[kind]
		undetected := 1.0
		for i, p := range lastByteDelays {
			undetected *= 1 - d.detected[i].estimate(scale, detectedPrior, p.detectionPrior)
			e.detectedFraction[kind][i] = 1 - undetected
		}
		e.detectionTime[kind] = d.detectionTime.estimate(scale, 0)
	}
}

// byBreaks orders servers by the number of breaks, most first.
func byBreaks(x, y *serverRecord) int { return cmp.Compare(y.observed.broken, x.observed.broken) }
