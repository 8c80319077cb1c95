package snapshot

import (
	"math"
	"time"

	"plankrouter/internal/config"
)

// ValidityRules say what a start accepts of a snapshot, and up to what age.
type ValidityRules struct {
	Program    string // of this start, like Deployment and Directory
	Deployment string
	Discovery  string
	Classes    int // positions that the settings have
	Tenants    int

	MaxClockSkew      time.Duration // by which a snapshot may lie ahead of the clock
	MaxListAge        time.Duration // of the list of servers that take new work
	MaxDrainAge       time.Duration // that servers drain, from the snapshot on; that they are gone, from when discovery said so
	MaxServiceTimeAge time.Duration // of service times, round trips and the instance's part of the fleet's traffic
	MaxFitAge         time.Duration // of the fit of latency to load
	MaxRateAge        time.Duration // of tenants' tokens and all rates
	MaxKeepaliveAge   time.Duration // of what was learned of how connections break
	OutcomeHalfLife   time.Duration // in which outcomes lose half their weight
	MinOutcomeWeight  float64       // of outcomes, below which they are left out
}

// DefaultValidityRules returns the age limits; who starts and with what positions is left to fill in.
func DefaultValidityRules() ValidityRules {
	return ValidityRules{
		MaxClockSkew:      2 * time.Second,
		MaxListAge:        24 * time.Hour,
		MaxDrainAge:       7 * 24 * time.Hour,
		MaxServiceTimeAge: 5 * time.Minute,
		MaxFitAge:         2 * time.Minute,
		MaxRateAge:        10 * time.Second,
		MaxKeepaliveAge:   5 * time.Minute,
		OutcomeHalfLife:   4 * time.Second,
		MinOutcomeWeight:  0.05,
	}
}

// validator takes out of a snapshot what is no longer valid. Times are Unix ms.
type validator struct {
	rules       ValidityRules
	now         float64
	takenAt     float64
	clockOffset float64 // of the wall clock from the policy's
	dropped     []Dropped
}

// drop notes that so many pieces are left out.
func (v *validator) drop(what, server string, pieces int, reason Reason) {
	if pieces > 0 {
		v.dropped = append(v.dropped, Dropped{What: what, Server: server, Count: pieces, Reason: reason})
	}
}

// clampToPast puts a time of the wall clock no later than the snapshot and than now.
func (v *validator) clampToPast(t float64) float64 { return min(t, v.takenAt, v.now) }

// toWallClock turns a time of the policy's clock into one of the wall clock; 0 stays never.
func (v *validator) toWallClock(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return max(0, v.clampToPast(t+v.clockOffset))
}

// keepFresh reports whether so many pieces of that time are within a limit of age; else they are dropped.
func (v *validator) keepFresh(at float64, limit time.Duration, what, server string, pieces int) bool {
	if pieces > 0 && v.now-at <= config.Millis(limit) {
		return true
	}
	v.drop(what, server, pieces, TooOld)
	return false
}

// remainingWeight is what outcomes of that time have kept of their weight.
func (v *validator) remainingWeight(at float64) float64 {
	return math.Exp2(-max(0, v.now-at) / config.Millis(max(1, v.rules.OutcomeHalfLife)))
}
