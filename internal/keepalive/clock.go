package keepalive

import (
	"math"
	"time"
)

// advanceClock advances the clock, which counts half-lives, to an observation at now. One observation advances it by
// 1/HalfLifeAttempts, within the bounds that MinHalfLife and MaxHalfLife set for the time since the previous one.
func (e *Estimator) advanceClock(now time.Time) {
	elapsed := float64(max(0, now.Sub(e.lastObservation)))
	if e.lastObservation.IsZero() {
		elapsed = 0
	}
	e.lastObservation = now
	e.clock += min(max(1/e.settings.HalfLifeAttempts, elapsed/float64(e.settings.MaxHalfLife)), elapsed/float64(e.settings.MinHalfLife))
	if e.clock-e.weightBase > maxWeightGrowth {
		e.scale(e.weightBase - e.clock)
		e.weightBase = e.clock
	}
}

// clockAt returns the clock at now without recording an observation.
func (e *Estimator) clockAt(now time.Time) float64 {
	if e.lastObservation.IsZero() {
		return e.clock
	}
	return e.clock + float64(max(0, now.Sub(e.lastObservation)))/float64(e.settings.MaxHalfLife)
}

// scale multiplies the weight of all evidence by 2^power.
func (e *Estimator) scale(power float64) {
	by := float32(math.Exp2(power))
	e.all.scale(by)
	e.doubleCounted.scale(by)
	for _, r := range e.serverList {
		r.observed.scale(by)
	}
	for i := range e.breaks {
		e.breaks[i].scale(by)
	}
}

// weight returns the weight of an observation made now.
func (e *Estimator) weight() float32 { return float32(math.Exp2(e.clock - e.weightBase)) }

const (
	changeThreshold   = 8.0      // log-odds from which the break rate counts as changed
	changeFade        = 3.0      // half-lives by which all evidence fades once the break rate has changed
	recomputeInterval = 1.0 / 64 // half-lives after which posteriors are recomputed; a break causes that at once
	maxWeightGrowth   = 20.0     // half-lives for which weights may grow before all evidence is rescaled
)

// detectChange runs a CUSUM test (Page, Biometrika 41, 1954) on the log-likelihood ratio of breaks being several times as
// frequent as the estimate p. Once it exceeds changeThreshold, earlier evidence fades by changeFade half-lives.
func (e *Estimator) detectChange(p float64, outcome Outcome) {
	p += 0.01
	raised := 3*p + 0.05
	switch {
	case raised > 0.9: // p is so high that it can't rise by much: there is no change to detect
		e.changeLogOdds = 0
	case outcome == Responded:
		e.changeLogOdds = max(0, e.changeLogOdds+math.Log((1-raised)/(1-p)))
	default:
		e.changeLogOdds += math.Log(raised / p)
	}
	if e.changeLogOdds > changeThreshold {
		e.changeLogOdds = 0
		e.clock += changeFade
	}
}
