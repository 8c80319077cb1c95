package overload

import (
	"fmt"
	"math"
	"slices"
)

const (
	slowTimes     = 1.5  // over the unhindered median, from which answers count as slow
	priorPart     = 0.5  // of the latency target that the unhindered median is taken to be until one is known
	followEvery   = 50.0 // ms between two attempts that are followed: a busy instance's window is as long as a quiet one's
	followedMost  = 64   // attempts that are remembered
	recentAge     = 5e3  // ms from its start for which an attempt tells the present state,
	slowRing      = 2.0  // times as long as it takes to be slow, for which attempts are remembered and count, at least
	recentMost    = 20   // how many of the newest do at most: one second of a busy instance,
	recentLeast   = 3    // how many it takes,
	recentSure    = 8    // and how many for the full rate of shedding: the same few tell nothing new with each look
	baselineLeast = 16   // answers that tell the unhindered median,
	baselineMost  = 64   // and how many are remembered for it
	doubt         = 0.4  // of the median of few: 0.8 of its standard error in ranks, as a part of them, times the root of their number
	baselineDown  = 0.02 // part of the way down that the unhindered median goes with each answer,
	baselineUp    = 0.002
	baselineDrift = 60e3  // and ms in which it grows by e while answers are slow: work and servers change
	oneSecond     = 1e3   // ms
	shedding      = 4.0   // e-folds a second by which less is admitted, for each time too long that answers take
	recovery      = 0.4   // part a second that is admitted again once they don't,
	blindRecovery = 0.125 // and while there are too few to tell
	worthPower    = 0.4   // how what is refused grows as worth falls,
	leastWorth    = 0.01  // down to this
	trialPart     = 0.02  // part that is always admitted: only answers tell that it is over
)

// Gauge compares the time that own attempts of late have taken, over all servers, with what answers of their class take
// unhindered. It goes by a median, which does not hang on the few attempts that wait for servers which are gone.
type Gauge struct {
	followed [followedMost]attempt // a ring, in order of their starts
	next     int                   // place in the ring
	all      baseline              // of all classes, over what is usual for each
	classes  []baseline            // by number
	lookedAt float64
	times    []float64 // room for a look: over the unhindered ones
	stretch  float64
	refused  float64 // part of the requests that are worth most
}

// attempt is one that is followed.
type attempt struct {
	request uint32
	began   float64 // 0 = there is none, or it tells nothing
	class   int
	usual   float64 // for its class, over what is usual for all
	took    float64 // until its answer; 0 = it is out
}

// newest returns the i-th newest place of the ring, from 0.
func (g *Gauge) newest(i int) *attempt { return &g.followed[(g.next+followedMost-1-i)%followedMost] }

// NewGauge returns one for classes with those latency targets in ms.
func NewGauge(targets []float64) Gauge {
	g := Gauge{}
	for _, target := range targets {
		g.classes = append(g.classes, baseline{target: target})
	}
	return g
}

// Reconfigure takes the classes of next. A number in from is the old class whose past is the new one's, -1 = none's. Attempts
// that are out belong to old classes and are not followed any more.
func (g *Gauge) Reconfigure(next Gauge, from []int) {
	g.followed = [followedMost]attempt{}
	for i, old := range from {
		if old >= 0 {
			target := next.classes[i].target
			next.classes[i] = g.classes[old]
			next.classes[i].target = target
		}
	}
	g.classes = next.classes
}

// Began takes note of the attempt at a request of a class, for which usual is what it takes over what all take. Of many in a
// short time one is followed.
func (g *Gauge) Began(now float64, request uint32, class int, usual float64) {
	a := attempt{request: request, began: now, class: class, usual: usual}
	every := max(followEvery, slowRing*slowTimes*g.unhindered(&a)/followedMost)
	if last := g.newest(0); last.began > 0 && now-last.began < every {
		return
	}
	g.followed[g.next] = a
	g.next = (g.next + 1) % followedMost
}

// Ended takes note of its end; one that was not answered, and whose time was not up either, tells nothing.
func (g *Gauge) Ended(now float64, request uint32, counts bool) {
	for i := range g.followed {
		a := &g.followed[i]
		if a.request != request || a.began == 0 || a.took > 0 {
			continue
		}
		if !counts {
			*a = attempt{}
			return
		}
		a.took = now - a.began
		g.classes[a.class].learn(now, a.took)
		g.all.learn(now, a.took/a.usual)
		return
	}
}

// Stretch is the median of late over the unhindered one, at least 1, less most of its standard error.
func (g *Gauge) Stretch() float64 { return max(1, g.stretch) }

// Unhindered is the median of the times that answers take unhindered, over what is usual for their classes; 0 = not known yet.
func (g *Gauge) Unhindered() float64 { return g.all.median }

// String words what it has come to, for a log.
func (g *Gauge) String() string {
	return fmt.Sprintf("answers %.1f times %.0f ms, shed %.2f", g.Stretch(), g.Unhindered(), g.refused)
}

// Admits reports whether a request of that worth, 0 to 1, may be admitted. Of worthy ones that is the part that the gauge has
// come to, of others less. Which ones hangs on their numbers alone, so that the answer is the same for each server that is
// looked at, and that they are spread evenly.
func (g *Gauge) Admits(request uint32, worth float64) bool {
	_, lot := math.Modf(float64(request) * math.Phi)
	return lot >= g.refused || lot >= 1-math.Pow(1-g.refused, 1/math.Pow(max(worth, leastWorth), worthPower))
}

// Look judges at now. target is the time in which what all requests take has to be done for the tightest latency target.
//
// While answers take longer the part that is refused grows, the quicker the longer they take; once they don't it shrinks
// steadily, and more slowly while there are too few to tell. So it goes on growing as long as servers are crowded, however
// little they get, and ends by itself.
func (g *Gauge) Look(now, target float64) {
	g.all.target = target
	slow := g.collectRecent(now)
	seconds := min(1, (now-g.lookedAt)/1000) * oneSecond / max(oneSecond, slow)
	g.stretch, g.lookedAt = 1, now
	if len(g.times) < recentLeast {
		g.refused = max(0, g.refused-blindRecovery*seconds)
		return
	}
	g.stretch = quantile(0.5-doubt/math.Sqrt(float64(len(g.times))), g.times)
	if over := g.stretch / slowTimes; over > 1 {
		rate := shedding * (over - 1) * min(1, float64(len(g.times))/recentSure)
		g.refused = min(1-trialPart, 1-(1-g.refused)*math.Exp(-rate*seconds))
	} else {
		g.refused = max(0, g.refused-recovery*seconds)
	}
}

// collectRecent puts the times of the newest attempts into g.times, those that are out by their age. Only attempts count that
// have had the time to be slow: of younger ones the quick answers alone have come. It returns the longest of those times in ms:
// what is refused changes no quicker than answers can tell.
func (g *Gauge) collectRecent(now float64) (slow float64) {
	g.times = g.times[:0]
	for i := 0; i < followedMost && len(g.times) < recentMost; i++ {
		a := g.newest(i)
		if a.began == 0 {
			continue
		}
		unhindered, age := g.unhindered(a), now-a.began
		limit := slowTimes * unhindered
		if age < limit || age > max(recentAge, slowRing*limit) {
			continue
		}
		took := a.took
		if took == 0 {
			took = age
		}
		g.times = append(g.times, took/unhindered)
		slow = max(slow, limit)
	}
	return slow
}

// unhindered is what the attempt would take unhindered: by its class, or, while that has too few answers, by all.
func (g *Gauge) unhindered(a *attempt) float64 {
	class := &g.classes[a.class]
	switch {
	case class.median > 0:
		return class.median
	case g.all.median > 0:
		return g.all.median * a.usual
	}
	return priorPart * class.target
}

// quantile is the q-th of v, which it sorts; 0 if v is empty.
func quantile(q float64, v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)))]
}
