// Package wallclock places dates of the wall clock, which may be stepped, on a line of real time that runs on. It reads no clock.
//
// A date says what the wall clock showed, not how long ago that was: between the two lies the clock's offset from the line, and
// each step makes another one. Which offset was in force when a date was written is not known. Of those that have been seen, the
// one counts that puts the date latest without putting it into the future: what has started is taken for younger than it is
// rather than for older.
package wallclock

import (
	"math"
	"slices"
)

const (
	minStepMs  = 50.0   // by which the offset must change to count as a step: less is a clock that is being adjusted
	maxAheadMs = 1000.0 // by which a date may lie ahead, as other machines' clocks do; it counts as of now then
	maxSteps   = 64     // earlier offsets that are kept, the latest ones
)

// Line is a line of real time and the offsets of the wall clock from it that have been seen. Times are in milliseconds. The zero
// value is a line that started as the wall clock, whatever that showed.
type Line struct {
	offset  float64   // in force
	earlier []float64 // offsets that were in force before, in their order
}

// Observe takes what the wall clock shows at now, and returns by how many ms it has been stepped since the last call; 0 = it has not.
func (l *Line) Observe(now, wall float64) (step float64) {
	offset := wall - now
	step = offset - l.offset
	if math.Abs(step) < minStepMs {
		step = 0
	} else {
		l.earlier = append(l.earlier, l.offset)
		l.earlier = slices.Delete(l.earlier, 0, max(0, len(l.earlier)-maxSteps))
	}
	l.offset = offset
	return step
}

// Place returns where on the line a date of the past lies, no later than now; 0, which is no date, stays 0.
func (l *Line) Place(date, now float64) float64 {
	if date <= 0 {
		return 0
	}
	placed := math.Inf(-1)
	for _, offset := range append([]float64{l.offset}, l.earlier...) {
		if at := date - offset; at <= now+maxAheadMs {
			placed = max(placed, at)
		}
	}
	if math.IsInf(placed, -1) { // ahead by every offset: a step that this process has not seen
		return now
	}
	return min(placed, now)
}
