package overload

import (
	"fmt"
	"math"
	"slices"
)

const (
	slowMultiple          = 1.5  // over the unhindered median, from which answers count as slow
	priorBaselineFraction = 0.5  // of the latency target that the unhindered median is taken to be until one is known
	minFollowInterval     = 50.0 // ms between two attempts that are followed: a busy instance's window is as long as a quiet one's
	maxFollowed           = 64   // attempts that are remembered
	maxRecentAge          = 5e3  // ms from its start for which an attempt tells the present state,
	memoryMultiple        = 2.0  // times as long as it takes to be slow, for which attempts are remembered and count, at least
	maxRecent             = 20   // how many of the newest do at most: one second of a busy instance,
	minRecent             = 3    // how many it takes,
	fullRateRecent        = 8    // and how many for the full rate of shedding: the same few tell nothing new with each look
	minBaselineAnswers    = 16   // answers that tell the unhindered median,
	maxBaselineAnswers    = 64   // and how many are remembered for it
	medianErrorFactor     = 0.4  // of the median of few: 0.8 of its standard error in ranks, as a part of them, times the root of their number
	baselineDownStep      = 0.02 // part of the way down that the unhindered median goes with each answer,
	baselineUpStep        = 0.002
	baselineDriftTime     = 60e3  // and ms in which it grows by e while answers are slow: work and servers change
	oneSecond             = 1e3   // ms
	sheddingRate          = 4.0   // e-folds a second by which less is admitted, for each time too long that answers take
	recoveryRate          = 0.4   // part a second that is admitted again once they don't,
	blindRecoveryRate     = 0.125 // and while there are too few to tell
	valueExponent         = 0.4   // how what is refused grows as worth falls,
	minValue              = 0.01  // down to this
	minAdmittedFraction   = 0.02  // part that is always admitted: only answers tell that it is over
)

// Gauge compares the time that own attempts of late have taken, over all servers, with what answers of their class take
// unhindered. It goes by a median, which does not hang on the few attempts that wait for servers which are gone.
type Gauge struct {
	followed        [maxFollowed]attempt // a ring, in order of their starts
	next            int                  // place in the ring
	allClasses      baseline             // of all classes, over what is usual for each
	classes         []baseline           // by number
	updatedAt       float64
	recent          []float64 // room for a look: over the unhindered ones
	stretch         float64
	refusedFraction float64 // part of the requests that are worth most
}

// attempt is one that is followed.
type attempt struct {
	request     uint32
	startedAt   float64 // 0 = there is none, or it tells nothing
	class       int
	classFactor float64 // for its class, over what is usual for all
	duration    float64 // until its answer; 0 = it is out
}

// newest returns the i-th newest place of the ring, from 0.
func (g *Gauge) newest(i int) *attempt { return &g.followed[(g.next+maxFollowed-1-i)%maxFollowed] }

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
	g.followed = [maxFollowed]attempt{}
	for i, old := range from {
		if old >= 0 {
			target := next.classes[i].target
			next.classes[i] = g.classes[old]
			next.classes[i].target = target
		}
	}
	g.classes = next.classes
}

// AttemptStarted takes note of the attempt at a request of a class, for which usual is what it takes over what all take. Of many in a
// short time one is followed.
func (g *Gauge) AttemptStarted(now float64, request uint32, class int, classFactor float64) {
	a := attempt{request: request, startedAt: now, class: class, classFactor: classFactor}
	every := max(minFollowInterval, memoryMultiple*slowMultiple*g.baselineOf(&a)/maxFollowed)
	if last := g.newest(0); last.startedAt > 0 && now-last.startedAt < every {
		return
	}
	g.followed[g.next] = a
	g.next = (g.next + 1) % maxFollowed
}

// AttemptEnded takes note of its end; one that was not answered, and whose time was not up either, tells nothing.
func (g *Gauge) AttemptEnded(now float64, request uint32, completed bool) {
	for i := range g.followed {
		a := &g.followed[i]
		if a.request != request || a.startedAt == 0 || a.duration > 0 {
			continue
		}
		if !completed {
			*a = attempt{}
			return
		}
		a.duration = now - a.startedAt
		g.classes[a.class].add(now, a.duration)
		g.allClasses.add(now, a.duration/a.classFactor)
		return
	}
}

// Stretch is the median of late over the unhindered one, at least 1, less most of its standard error.
func (g *Gauge) Stretch() float64 { return max(1, g.stretch) }

// Baseline is the median of the times that answers take unhindered, over what is usual for their classes; 0 = not known yet.
func (g *Gauge) Baseline() float64 { return g.allClasses.median }

// String words what it has come to, for a log.
func (g *Gauge) String() string {
	return fmt.Sprintf("answers %.1f times %.0f ms, shed %.2f", g.Stretch(), g.Baseline(), g.refusedFraction)
}

// Admits reports whether a request of that worth, 0 to 1, may be admitted. Of worthy ones that is the part that the gauge has
// come to, of others less. Which ones hangs on their numbers alone, so that the answer is the same for each server that is
// looked at, and that they are spread evenly.
func (g *Gauge) Admits(request uint32, value float64) bool {
	_, draw := math.Modf(float64(request) * math.Phi)
	return draw >= g.refusedFraction || draw >= 1-math.Pow(1-g.refusedFraction, 1/math.Pow(max(value, minValue), valueExponent))
}

// Update judges at now. target is the time in which what all requests take has to be done for the tightest latency target.
//
// While answers take longer the part that is refused grows, the quicker the longer they take; once they don't it shrinks
// steadily, and more slowly while there are too few to tell. So it goes on growing as long as servers are crowded, however
// little they get, and ends by itself.
func (g *Gauge) Update(now, target float64) {
	g.allClasses.target = target
	slow := g.collectRecent(now)
	seconds := min(1, (now-g.updatedAt)/1000) * oneSecond / max(oneSecond, slow)
	g.stretch, g.updatedAt = 1, now
	if len(g.recent) < minRecent {
		g.refusedFraction = max(0, g.refusedFraction-blindRecoveryRate*seconds)
		return
	}
	g.stretch = quantile(0.5-medianErrorFactor/math.Sqrt(float64(len(g.recent))), g.recent)
	if over := g.stretch / slowMultiple; over > 1 {
		rate := sheddingRate * (over - 1) * min(1, float64(len(g.recent))/fullRateRecent)
		g.refusedFraction = min(1-minAdmittedFraction, 1-(1-g.refusedFraction)*math.Exp(-rate*seconds))
	} else {
		g.refusedFraction = max(0, g.refusedFraction-recoveryRate*seconds)
	}
}

// collectRecent puts the times of the newest attempts into g.times, those that are out by their age. Only attempts count that
// have had the time to be slow: of younger ones the quick answers alone have come. It returns the longest of those times in ms:
// what is refused changes no quicker than answers can tell.
func (g *Gauge) collectRecent(now float64) (slow float64) {
	g.recent = g.recent[:0]
	for i := 0; i < maxFollowed && len(g.recent) < maxRecent; i++ {
		a := g.newest(i)
		if a.startedAt == 0 {
			continue
		}
		unhindered, age := g.baselineOf(a), now-a.startedAt
		limit := slowMultiple * unhindered
		if age < limit || age > max(maxRecentAge, memoryMultiple*limit) {
			continue
		}
		took := a.duration
		if took == 0 {
			took = age
		}
		g.recent = append(g.recent, took/unhindered)
		slow = max(slow, limit)
	}
	return slow
}

// baselineOf is what the attempt would take unhindered: by its class, or, while that has too few answers, by all.
func (g *Gauge) baselineOf(a *attempt) float64 {
	class := &g.classes[a.class]
	switch {
	case class.median > 0:
		return class.median
	case g.allClasses.median > 0:
		return g.allClasses.median * a.classFactor
	}
	return priorBaselineFraction * class.target
}

// quantile is the q-th of v, which it sorts; 0 if v is empty.
func quantile(q float64, v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)))]
}
