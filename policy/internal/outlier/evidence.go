// Package outlier weighs what spoke for and against a server, each outcome the less the older it is. It reads no clock: times
// are in milliseconds from any fixed origin.
package outlier

import "math"

// HalfLife is the time in which outcomes lose half their weight; then a bad server is tried again.
const HalfLife = 4e3

const (
	prior    = 2.0  // weight of a server's innocence: one failure alone takes no server out
	okShrink = 0.85 // what one success leaves of the weight of failures
)

// Tally is fading evidence for and against a server, as it was at At.
type Tally struct{ Oks, Misses, At float64 }

// Missed is the probability of a failure.
func (t *Tally) Missed(now float64) float64 {
	if t.Oks+t.Misses == 0 { // as of most: fading them would take most of the time
		return 0
	}
	k := Faded(now - t.At)
	*t = Tally{t.Oks * k, t.Misses * k, now}
	return t.Misses / (t.Oks + t.Misses + prior)
}

// Add takes a failure of that weight, or a success if it is 0.
func (t *Tally) Add(now, weight float64) {
	t.Missed(now)
	if t.Misses, t.At = t.Misses+weight, now; weight == 0 {
		t.Oks, t.Misses = t.Oks+1, t.Misses*okShrink
	}
}

// Faded is what an outcome of that age still weighs.
func Faded(age float64) float64 { return math.Exp2(-age / HalfLife) }
