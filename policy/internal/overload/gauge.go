package overload

import (
	"fmt"
	"math"
	"slices"
)

// Which attempts are compared with the baseline.
const (
	slowMultiple          = 1.5  // multiple of the baseline above which a duration counts as slow
	priorBaselineFraction = 0.5  // baseline assumed until it is known, as a fraction of the latency target
	maxTracked            = 64   // number of attempts in the ring buffer
	minTrackInterval      = 50.0 // ms between two tracked attempts: the ring covers as long a time with many requests as with few
	maxRecentAge          = 5e3  // ms since the start of an attempt for which it counts as recent
	maxAgeMultiple        = 2.0  // an attempt also counts as recent up to this multiple of the duration above which it is slow
	maxRecent             = 20   // maximum number of recent attempts that are evaluated
	minRecent             = 3    // minimum number of recent attempts to detect an overload
	fullRateRecent        = 8    // recent attempts needed for the full shedding rate: fewer are mostly the same at each update
	medianErrorFactor     = 0.4  // 0.8 standard errors of the median as a quantile, 0.8*0.5/sqrt(n), times sqrt(n)
)

// How the rejected fraction changes.
const (
	oneSecond             = 1e3   // ms
	maxUpdateSeconds      = 1     // upper bound of the time since the last update that is taken into account
	sheddingRate          = 4.0   // e-folds per second by which the admitted fraction falls, per unit of excess duration
	recoveryRate          = 0.4   // decrease of the rejected fraction per second once attempts are no longer slow
	lowSampleRecoveryRate = 0.125 // recoveryRate while there are fewer than minRecent recent attempts
	valueExponent         = 0.4   // how quickly the rejected fraction rises as a request's value falls
	minValue              = 0.01  // lower bound of the request's value in that computation
	minAdmittedFraction   = 0.02  // lower bound of the admitted fraction: only responses show that the overload is over
)

// Gauge detects an overload of the whole fleet from the durations of this instance's recent attempts at all servers, compared
// with the baseline of their class. It uses a median, which a few attempts at failed servers do not shift.
type Gauge struct {
	tracked          [maxTracked]attempt // ring buffer, in order of start
	next             int                 // index in tracked of the next attempt
	allClasses       baseline            // of the requests of all classes, from durations divided by the factor of their class
	classes          []baseline          // by class
	updatedAt        float64
	recent           []float64 // scratch space of Update: durations divided by their baselines
	stretch          float64   // as of the last update: see Stretch
	rejectedFraction float64   // fraction of the requests of the highest value that is rejected
}

// attempt is a tracked attempt.
type attempt struct {
	request     uint32
	startedAt   float64 // 0 = empty entry, or the attempt does not count
	class       int
	classFactor float64 // usual duration of the class divided by that of all requests
	duration    float64 // 0 = still in flight
}

// newest returns the i-th newest entry of the ring buffer, counted from 0.
func (g *Gauge) newest(i int) *attempt { return &g.tracked[(g.next+maxTracked-1-i)%maxTracked] }

// NewGauge returns a Gauge for classes with the given latency targets in ms.
func NewGauge(targets []float64) Gauge {
	g := Gauge{}
	for _, target := range targets {
		g.classes = append(g.classes, baseline{target: target})
	}
	return g
}

// Reconfigure replaces the classes by those of next. from gives, for each of them, the index of the old class whose baseline it
// takes over, or -1. Attempts of the old classes are no longer tracked.
func (g *Gauge) Reconfigure(next Gauge, from []int) {
	g.tracked = [maxTracked]attempt{}
	for i, old := range from {
		if old >= 0 {
			target := next.classes[i].target
			next.classes[i] = g.classes[old]
			next.classes[i].target = target
		}
	}
	g.classes = next.classes
}

// AttemptStarted tracks an attempt of a class whose usual duration is classFactor times that of all requests. Attempts that
// start too soon after the last tracked one are skipped.
func (g *Gauge) AttemptStarted(now float64, request uint32, class int, classFactor float64) {
	a := attempt{request: request, startedAt: now, class: class, classFactor: classFactor}
	every := max(minTrackInterval, maxAgeMultiple*slowMultiple*g.baselineOf(&a)/maxTracked)
	if last := g.newest(0); last.startedAt > 0 && now-last.startedAt < every {
		return
	}
	g.tracked[g.next] = a
	g.next = (g.next + 1) % maxTracked
}

// AttemptEnded records the end of an attempt. completed means that it has had a response or has timed out; other attempts do
// not count.
func (g *Gauge) AttemptEnded(now float64, request uint32, completed bool) {
	for i := range g.tracked {
		a := &g.tracked[i]
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

// Stretch returns the median of recent durations divided by their baselines, less most of its standard error and at least 1.
func (g *Gauge) Stretch() float64 { return max(1, g.stretch) }

// Baseline returns the median duration in ms at servers with free capacity, over all classes; 0 = not known yet.
func (g *Gauge) Baseline() float64 { return g.allClasses.median }

// String returns the gauge's state as key=value pairs for a log line.
func (g *Gauge) String() string {
	return fmt.Sprintf("stretch=%.1f baseline_ms=%.0f refused_part=%.2f", g.Stretch(), g.Baseline(), g.rejectedFraction)
}

// Admits reports whether a request of the given value, 0 to 1, may be admitted. It rejects rejectedFraction of the requests of
// the highest value and more of the others. The choice depends on the request's ID alone, so that the result is the same for
// each server considered, and rejections are spread evenly.
func (g *Gauge) Admits(request uint32, value float64) bool {
	_, position := math.Modf(float64(request) * math.Phi)
	if position >= g.rejectedFraction {
		return true
	}
	admitted := math.Pow(1-g.rejectedFraction, 1/math.Pow(max(value, minValue), valueExponent))
	return position >= 1-admitted
}

// Update recomputes the rejected fraction at now. target is the duration in ms that a usual request may take under the tightest
// latency target.
//
// While attempts are slow the rejected fraction grows, the faster the slower they are. Otherwise it shrinks at a constant rate,
// which is lower if there are too few recent attempts. It therefore keeps growing as long as servers are overloaded, even
// if this instance sends them little, and returns to 0 by itself.
func (g *Gauge) Update(now, target float64) {
	g.allClasses.target = target
	slow := g.collectRecent(now)
	seconds := min(maxUpdateSeconds, (now-g.updatedAt)/1000) * oneSecond / max(oneSecond, slow)
	g.stretch = 1
	g.updatedAt = now
	count := float64(len(g.recent))
	if len(g.recent) < minRecent {
		g.rejectedFraction = max(0, g.rejectedFraction-lowSampleRecoveryRate*seconds)
		return
	}
	g.stretch = quantile(0.5-medianErrorFactor/math.Sqrt(count), g.recent)
	excess := g.stretch / slowMultiple
	if excess <= 1 {
		g.rejectedFraction = max(0, g.rejectedFraction-recoveryRate*seconds)
		return
	}
	rate := sheddingRate * (excess - 1) * min(1, count/fullRateRecent)
	g.rejectedFraction = min(1-minAdmittedFraction, 1-(1-g.rejectedFraction)*math.Exp(-rate*seconds))
}

// collectRecent stores the durations of recent attempts, divided by their baselines, in g.recent; the duration of an attempt in
// flight is its age. Attempts that started too recently to be slow are skipped, since only quick ones among them have ended.
// It returns the longest time in ms after which one of the stored attempts counts as slow. The rejected fraction changes no
// faster than that time allows, so that responses can show the effect of a change.
func (g *Gauge) collectRecent(now float64) (longestSlow float64) {
	g.recent = g.recent[:0]
	for i := 0; i < maxTracked && len(g.recent) < maxRecent; i++ {
		a := g.newest(i)
		if a.startedAt == 0 {
			continue
		}
		baseline := g.baselineOf(a)
		age := now - a.startedAt
		slow := slowMultiple * baseline
		if age < slow || age > max(maxRecentAge, maxAgeMultiple*slow) {
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

// baselineOf returns the attempt's expected duration in ms at servers with free capacity: the baseline of its class, or that of
// all classes if its class has too few responses.
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

// quantile returns the q-th quantile of values, or 0 if there are none. It sorts values.
func quantile(q float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}
