// Package wallclock converts dates of the wall clock, which may be stepped, to times on a monotonic timeline. It reads no clock.
//
// A date is what the wall clock showed, not how long ago that was. The two differ by the clock's offset from the timeline,
// which changes with each step, and the offset at the time when a date was written is unknown. Of the offsets observed so
// far, Place uses the one that results in the latest time that is not in the future: a process counts as younger than it is
// rather than as older.
package wallclock

import (
	"math"
	"slices"
)

const (
	minStepMs  = 50.0   // minimum change of the offset that counts as a step; less is a gradual clock adjustment
	maxAheadMs = 1000.0 // maximum by which a date may lie in the future, because machines' clocks differ; it then counts as now
	maxSteps   = 64     // maximum number of earlier offsets that are kept, the latest ones
)

// Timeline is a monotonic timeline and the observed offsets of the wall clock from it. Times are in milliseconds. The zero value
// is a timeline whose initial offset is 0.
type Timeline struct {
	offset  float64   // current offset
	earlier []float64 // previous offsets, oldest first
}

// Observe records the wall clock time at now, and returns the size of the clock step since the last call; 0 = no step.
func (t *Timeline) Observe(now, wall float64) (step float64) {
	offset := wall - now
	step = offset - t.offset
	if math.Abs(step) < minStepMs {
		step = 0
	} else {
		t.earlier = append(t.earlier, t.offset)
		t.earlier = slices.Delete(t.earlier, 0, max(0, len(t.earlier)-maxSteps))
	}
	t.offset = offset
	return step
}

// Place converts a past wall clock date to a time on the timeline, now at the latest; 0 and less mean no date and return 0.
func (t *Timeline) Place(date, now float64) float64 {
	if date <= 0 {
		return 0
	}
	placed := math.Inf(-1)
	for _, offset := range append([]float64{t.offset}, t.earlier...) {
		if at := date - offset; at <= now+maxAheadMs {
			placed = max(placed, at)
		}
	}
	if math.IsInf(placed, -1) { // in the future with every known offset, due to a step that this process has not observed
		return now
	}
	return min(placed, now)
}
