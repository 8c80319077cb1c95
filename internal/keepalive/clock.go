package keepalive

import (
	"math"
	"time"
)

// tick moves the clock to a lesson at now.
func (e *Estimator) tick(now time.Time) {
	passed := float64(max(0, now.Sub(e.lastLesson)))
	if e.lastLesson.IsZero() {
		passed = 0
	}
	e.lastLesson = now
	e.clock += min(max(1/e.settings.HalfLifeAttempts, passed/float64(e.settings.MaxHalfLife)), passed/float64(e.settings.MinHalfLife))
	if e.clock-e.base > precise {
		e.scale(e.base - e.clock)
		e.base = e.clock
	}
}

// clockAt is the clock at now, without a lesson.
func (e *Estimator) clockAt(now time.Time) float64 {
	if e.lastLesson.IsZero() {
		return e.clock
	}
	return e.clock + float64(max(0, now.Sub(e.lastLesson)))/float64(e.settings.MaxHalfLife)
}

// scale multiplies all evidence by a power of two.
func (e *Estimator) scale(power float64) {
	by := float32(math.Exp2(power))
	e.all.scale(by)
	e.doublyBlamed.scale(by)
	for _, r := range e.list {
		r.seen.scale(by)
	}
	for i := range e.breaks {
		e.breaks[i].scale(by)
	}
}

// weight is what a lesson counts for now.
func (e *Estimator) weight() float32 { return float32(math.Exp2(e.clock - e.base)) }

const (
	changed = 8.0      // logarithm of the odds at which circumstances count as changed
	shock   = 3.0      // half-lives by which the evidence fades then
	refit   = 1.0 / 64 // half-lives after which posteriors are drawn anew, as they are after every break
	precise = 20.0     // half-lives in which the weights grow before all are made small again
)

// detectChange is Page's cumulative sum (Biometrika 41, 1954) of the log-likelihood ratio of breaks being several times as
// frequent as was thought, p. When it is high, circumstances have changed, and what was learned before counts for
// little.
func (e *Estimator) detectChange(p float64, how Outcome) {
	p += 0.01
	many := 3*p + 0.05
	switch {
	case many > 0.9: // nothing much worse can happen
		e.odds = 0
	case how == Responded:
		e.odds = max(0, e.odds+math.Log((1-many)/(1-p)))
	default:
		e.odds += math.Log(many / p)
	}
	if e.odds > changed {
		e.odds = 0
		e.clock += shock
	}
}
