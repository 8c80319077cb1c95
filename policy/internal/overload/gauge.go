package overload

import (
	"fmt"
	"math"
	"slices"
)

// What is looked at.
const (
	slowMultiple          = 1.5  // of the baseline, from which answers count as slow
	priorBaselineFraction = 0.5  // of the latency target that the baseline is taken to be until it is known
	maxFollowed           = 64   // attempts that are remembered
	minFollowInterval     = 50.0 // ms between two of them: a busy instance's window is as long as a quiet one's
	maxRecentAge          = 5e3  // ms from its start for which an attempt shows the present state
	memoryMultiple        = 2.0  // times the time after which it is slow, for which it does so in any case
	maxRecent             = 20   // newest attempts that count at most
	minRecent             = 3    // attempts without which nothing is known
	fullRateRecent        = 8    // attempts for the full rate of shedding: the same few show nothing new with each update
	medianErrorFactor     = 0.4  // 0.8 of the median's standard error in ranks, as a part of their number, times its root
)

// What follows from it.
const (
	oneSecond           = 1e3   // ms
	maxUpdateSeconds    = 1     // that an update counts for, however long ago the last one was
	sheddingRate        = 4.0   // e-folds a second by which less is admitted, for each time too long that answers take
	recoveryRate        = 0.4   // part a second that is admitted again once they don't
	blindRecoveryRate   = 0.125 // the same while there are too few attempts to judge by
	valueExponent       = 0.4   // how the refused part grows as a request's value falls
	minValue            = 0.01  // value below which it grows no more
	minAdmittedFraction = 0.02  // part that is always admitted: only answers show that the overload is over
)

// Gauge compares the time that own attempts of late have taken, over all servers, with the baseline of their class. It goes by
// a median, which does not hang on the few attempts that wait for servers which are gone.
type Gauge struct {
	followed        [maxFollowed]attempt // a ring, in order of their starts
	next            int                  // place in the ring
	allClasses      baseline             // of durations over their class's factor
	classes         []baseline           // by number
	updatedAt       float64
	recent          []float64 // scratch space of Update: durations over their baselines
	stretch         float64   // as of the last update
	refusedFraction float64   // of the requests of the highest value
}

// attempt is one that is followed.
type attempt struct {
	request     uint32
	startedAt   float64 // 0 = there is none, or it does not count
	class       int
	classFactor float64 // usual duration of the class over that of all
	duration    float64 // until its answer; 0 = it is in flight
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

// Reconfigure takes the classes of next. from gives, for each of them, the old class whose past it takes over, or -1.
// Attempts in flight belong to old classes and are not followed any more.
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

// AttemptStarted follows an attempt at a request of a class whose usual duration is classFactor times that of all. Of many in
// a short time one is followed.
func (g *Gauge) AttemptStarted(now float64, request uint32, class int, classFactor float64) {
	a := attempt{request: request, startedAt: now, class: class, classFactor: classFactor}
	every := max(minFollowInterval, memoryMultiple*slowMultiple*g.baselineOf(&a)/maxFollowed)
	if last := g.newest(0); last.startedAt > 0 && now-last.startedAt < every {
		return
	}
	g.followed[g.next] = a
	g.next = (g.next + 1) % maxFollowed
}

// AttemptEnded takes note of an attempt's end. One that was neither answered nor given all its time does not count.
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

// Stretch is the median of recent durations over their baselines, at least 1, less most of its standard error.
func (g *Gauge) Stretch() float64 { return max(1, g.stretch) }

// Baseline is the median duration while servers are free, over all classes, in ms; 0 = not known yet.
func (g *Gauge) Baseline() float64 { return g.allClasses.median }

// String is the gauge's state in key=value, for a log.
func (g *Gauge) String() string {
	return fmt.Sprintf("stretch=%.1f baseline_ms=%.0f refused_part=%.2f", g.Stretch(), g.Baseline(), g.refusedFraction)
}

// Admits reports whether a request of that value, 0 to 1, may be admitted. Of those of the highest value refusedFraction is
// refused, of others more. Which ones depends on their numbers alone, so that the answer is the same for each server that is
// looked at, and they are spread evenly.
func (g *Gauge) Admits(request uint32, value float64) bool {
	_, draw := math.Modf(float64(request) * math.Phi)
	if draw >= g.refusedFraction {
		return true
	}
	admitted := math.Pow(1-g.refusedFraction, 1/math.Pow(max(value, minValue), valueExponent))
	return draw >= 1-admitted
}

// Update judges at now. target is the time in which a usual request has to be done for the tightest latency target.
//
// While answers are slow the part that is refused grows, the quicker the slower they are; once they are not it shrinks
// steadily, and more slowly while there are too few to judge by. So it goes on growing as long as servers are overloaded, however
// little they get, and ends by itself.
func (g *Gauge) Update(now, target float64) {
	g.allClasses.target = target
	slow := g.collectRecent(now)
	seconds := min(maxUpdateSeconds, (now-g.updatedAt)/1000) * oneSecond / max(oneSecond, slow)
	g.stretch = 1
	g.updatedAt = now
	count := float64(len(g.recent))
	if len(g.recent) < minRecent {
		g.refusedFraction = max(0, g.refusedFraction-blindRecoveryRate*seconds)
		return
	}
	g.stretch = quantile(0.5-medianErrorFactor/math.Sqrt(count), g.recent)
	excess := g.stretch / slowMultiple
	if excess <= 1 {
		g.refusedFraction = max(0, g.refusedFraction-recoveryRate*seconds)
		return
	}
	rate := sheddingRate * (excess - 1) * min(1, count/fullRateRecent)
	g.refusedFraction = min(1-minAdmittedFraction, 1-(1-g.refusedFraction)*math.Exp(-rate*seconds))
}

// collectRecent puts the durations of the newest attempts over their baselines into g.recent; for those in flight it takes their
// age. Only attempts count that have had the time to be slow: of younger ones the quick answers alone have come. It returns
// the longest time in ms after which one of them counts as slow: what is refused changes no quicker than answers can show.
func (g *Gauge) collectRecent(now float64) (longestSlow float64) {
	g.recent = g.recent[:0]
	for i := 0; i < maxFollowed && len(g.recent) < maxRecent; i++ {
		a := g.newest(i)
		if a.startedAt == 0 {
			continue
		}
		baseline := g.baselineOf(a)
		age := now - a.startedAt
		slow := slowMultiple * baseline
		if age < slow || age > max(maxRecentAge, memoryMultiple*slow) {
			continue
		}
		duration := a.duration
		if duration == 0 {
			duration = age
		}
		g.recent = append(g.recent, duration/baseline)
		longestSlow = max(longestSlow, slow)
	}
	return longestSlow
}

// baselineOf is the attempt's duration if servers were free: by its class, or by all while its class has too few answers.
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

// quantile is the q-th quantile of values, which it sorts, or 0 where there are none.
func quantile(q float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}
