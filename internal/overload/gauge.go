package overload

import (
	"fmt"
	"math"
	"slices"
)

const (
	// unhinderedPart is the part of an aim that most answers take unhindered, at most: who aims at less would miss it with half
	// of the requests.
	unhinderedPart = 0.5

	gaugeAge    = 3e3  // ms from its start in which an answer counts, and
	gaugeEnded  = 1e3  // from its end
	gaugeEvery  = 50.0 // ms between two attempts that are followed: a busy instance's window is as long as a quiet one's
	gaugeSize   = int(gaugeAge / gaugeEvery)
	gaugeLeast  = 6    // answers and attempts out that tell a stretch
	gaugeBase   = 16   // answers that tell what is unhindered
	doubt       = 0.25 // of the median of few: half its standard error in ranks, as a part of them, times the root of their number
	calm        = 1.5  // stretch up to which what is unhindered follows what is usual,
	baseDown    = 0.02 // by that part of the way down a look,
	baseUp      = 0.002
	shedding    = 4.0  // e-folds a second by which less is admitted, for each time too long that answers take
	recovery    = 0.4  // part a second that is admitted again once they don't,
	blindly     = 0.1  // and while there are too few to tell
	worthPower  = 0.4  // how what is refused grows as worth falls,
	leastWorth  = 0.01 // down to this
	gaugeTrials = 0.02 // part that is always admitted: only answers tell that it is over
	baseDrift   = 60e3 // ms in which it grows by e beyond that: work and servers change
)

// Gauge compares the time that own answers of late have taken, over all servers, with what they take unhindered. It is no
// mean but a median: it does not hang on the few that wait for servers which are gone, and it counts those that are
// still out for as long as they have waited, so that it does not wait for answers that hang.
type Gauge struct {
	recent   [gaugeSize]answer
	next     int
	out      map[uint32]attempt // that are followed
	followed float64            // when one began to be
	base     float64            // unhindered; 0 = not known yet
	at       float64
	times    []float64
	stretch  float64
	refused  float64 // part of the requests that are worth most
}

type (
	answer  struct{ began, ended, took float64 } // took: over class
	attempt struct{ began, class float64 }
)

// Began takes note of the attempt at a request, for which class is usual over what all take. Of many in a short time one is
// followed.
func (g *Gauge) Began(now float64, request uint32, class float64) {
	if now-g.followed < gaugeEvery {
		return
	}
	if g.out == nil {
		g.out = map[uint32]attempt{}
	}
	g.out[request], g.followed = attempt{now, class}, now
}

// Ended takes note of its end; one that was not answered, and whose time was not up either, tells nothing.
func (g *Gauge) Ended(now float64, request uint32, counts bool) {
	a, followed := g.out[request]
	if delete(g.out, request); !followed || !counts {
		return
	}
	g.recent[g.next] = answer{a.began, now, (now - a.began) / a.class}
	g.next = (g.next + 1) % gaugeSize
}

// Stretch is the median of late over the unhindered one, at least 1, less half its standard error: quiet instances know it less
// well, and shall not refuse for that. It is 1 while there are too few answers to tell.
func (g *Gauge) Stretch() float64 { return max(1, g.stretch) }

// Unhindered is the median of the times that answers take unhindered, over what is usual for their classes; 0 = not known yet.
func (g *Gauge) Unhindered() float64 { return g.base }

// String words what it has come to, for a log.
func (g *Gauge) String() string {
	return fmt.Sprintf("answers %.1f times %.0f ms, shed %.2f", g.Stretch(), g.base, g.refused)
}

// Admits reports whether a request of that worth, 0 to 1, may be admitted. Of worthy ones that is the part that the gauge has
// come to, of others less. Which ones hangs on their numbers alone, so that the answer is the same for each server that is
// looked at, and that they are spread evenly.
func (g *Gauge) Admits(request uint32, worth float64) bool {
	_, lot := math.Modf(float64(request) * math.Phi)
	return lot >= g.refused || lot >= 1-math.Pow(1-g.refused, 1/math.Pow(max(worth, leastWorth), worthPower))
}

// Look judges at now. left is the time in which what all requests take has to be done for the tightest aim, room how many times
// that an answer has to fit in there, most the stretch that may be at all.
//
// While answers take longer the part that is refused grows, the quicker the longer they take; once they don't it shrinks
// steadily, and more slowly while there are too few to tell. So it goes on growing as long as servers are choked, however
// little they get, and ends by itself.
func (g *Gauge) Look(now, left, room, most float64) {
	g.times = g.times[:0]
	for _, a := range g.recent {
		if a.took > 0 && (now-a.began <= gaugeAge || now-a.ended <= gaugeEnded) {
			g.times = append(g.times, a.took)
		}
	}
	usual := quantile(0.5, g.times)
	switch {
	case len(g.times) < gaugeBase:
	case g.base == 0:
		g.base = usual
	case usual < g.base:
		g.base += baseDown * (usual - g.base)
	case usual < calm*g.base:
		g.base += baseUp * (usual - g.base)
	default:
		g.base *= math.Exp((now - g.at) / baseDrift)
	}
	g.base = min(g.base, unhinderedPart*left) // who starts in the middle of an overload has seen nothing else
	for _, a := range g.out {                 // younger ones than the unhindered answer may yet be quick
		if age := now - a.began; age > a.class*g.base {
			g.times = append(g.times, age/a.class)
		}
	}
	seconds := min(1, (now-g.at)/1000)
	g.stretch, g.at = 1, now
	if len(g.times) < gaugeLeast || g.base == 0 {
		g.refused = max(0, g.refused-blindly*seconds)
		return
	}
	usual = quantile(0.5-doubt/math.Sqrt(float64(len(g.times))), g.times)
	g.stretch = max(1, usual/g.base)
	if over := max(g.stretch/most, usual*room/left); over > 1 {
		g.refused = min(1-gaugeTrials, 1-(1-g.refused)*math.Exp(-shedding*(over-1)*seconds))
	} else {
		g.refused = max(0, g.refused-recovery*seconds)
	}
}

// quantile is the q-th of v, which it sorts; 0 if v is empty.
func quantile(q float64, v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)))]
}
