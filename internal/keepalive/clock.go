package keepalive

import (
	"math"
	"time"
)

// tick moves the clock to a lesson at now.
func (b *Estimator) tick(now time.Time) {
	passed := float64(max(0, now.Sub(b.lastLesson)))
	if b.lastLesson.IsZero() {
		passed = 0
	}
	b.lastLesson = now
	b.clock += min(max(1/b.settings.Calls, passed/float64(b.settings.LongHalfLife)), passed/float64(b.settings.HalfLife))
	if b.clock-b.base > precise {
		b.scale(b.base - b.clock)
		b.base = b.clock
	}
}

// clockAt is the clock at now, without a lesson.
func (b *Estimator) clockAt(now time.Time) float64 {
	if b.lastLesson.IsZero() {
		return b.clock
	}
	return b.clock + float64(max(0, now.Sub(b.lastLesson)))/float64(b.settings.LongHalfLife)
}

// scale multiplies all evidence by a power of two.
func (b *Estimator) scale(power float64) {
	by := float32(math.Exp2(power))
	b.all.scale(by)
	b.doublyBlamed.scale(by)
	for _, r := range b.list {
		r.seen.scale(by)
	}
	for i := range b.breaks {
		b.breaks[i].scale(by)
	}
}

// weight is what a lesson counts for now.
func (b *Estimator) weight() float32 { return float32(math.Exp2(b.clock - b.base)) }

const (
	changed = 8.0      // logarithm of the odds at which circumstances count as changed
	shock   = 3.0      // half-lives by which the evidence fades then
	refit   = 1.0 / 64 // half-lives after which beliefs are drawn anew, as they are after every break
	precise = 20.0     // half-lives in which the weights grow before all are made small again
)

// detectChange is Page's cumulative sum (Biometrika 41, 1954) of the log-likelihood ratio of breaks being several times as
// frequent as was thought, p. When it is high, circumstances have changed, and what was learned before counts for
// little.
func (b *Estimator) detectChange(p float64, f Outcome) {
	p += 0.01
	many := 3*p + 0.05
	switch {
	case many > 0.9: // nothing much worse can happen
		b.odds = 0
	case f == Answered:
		b.odds = max(0, b.odds+math.Log((1-many)/(1-p)))
	default:
		b.odds += math.Log(many / p)
	}
	if b.odds > changed {
		b.odds = 0
		b.clock += shock
	}
}
