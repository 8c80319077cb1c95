package snapshot

import (
	"math"
	"time"

	"plankrouter/internal/config"
)

// ValidityRules determine which parts of a snapshot a starting process accepts, and up to what age.
type ValidityRules struct {
	Program    string // Program, Deployment and Discovery of the starting process
	Deployment string
	Discovery  string
	Classes    int // number of classes in the settings
	Tenants    int // number of tenants in the settings

	MaxClockSkew      time.Duration // maximum time by which a snapshot may be ahead of the clock
	MaxListAge        time.Duration // of the available servers in the list
	MaxDrainAge       time.Duration // of draining servers, since the snapshot; of deleted ones, since discovery listed them so
	MaxServiceTimeAge time.Duration // of service times, round trips and the instance's share of the fleet's traffic
	MaxFitAge         time.Duration // of the regression of latency on load
	MaxRateAge        time.Duration // of tenants' tokens and of rates
	MaxKeepaliveAge   time.Duration // of the evidence of how connections break
	OutcomeHalfLife   time.Duration // time in which outcomes lose half their weight
	MinOutcomeWeight  float64       // remaining weight below which outcomes and error rates are dropped
}

// DefaultValidityRules returns the default limits; the caller sets the origin and the numbers of classes and tenants.
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

// validator selects the valid parts of a snapshot. Times are Unix ms of the wall clock.
type validator struct {
	rules       ValidityRules
	now         float64
	takenAt     float64
	clockOffset float64 // wall clock minus the policy's clock, in ms
	dropped     []Dropped
}

// drop records that count elements were dropped, unless count is 0.
func (v *validator) drop(what, server string, count int, reason Reason) {
	if count > 0 {
		v.dropped = append(v.dropped, Dropped{What: what, Server: server, Count: count, Reason: reason})
	}
}

// clampToPast returns t, but no later than the snapshot or now.
func (v *validator) clampToPast(t float64) float64 { return min(t, v.takenAt, v.now) }

// toWallClock converts a time of the policy's clock to the wall clock; 0 (never) stays 0.
func (v *validator) toWallClock(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return max(0, v.clampToPast(t+v.clockOffset))
}

// keepFresh reports whether the age of count elements, which are as of the time at, is within the limit, and drops them if not.
// It reports false if count is 0.
func (v *validator) keepFresh(at float64, limit time.Duration, what, server string, count int) bool {
	if count > 0 && v.now-at <= config.Millis(limit) {
		return true
	}
	v.drop(what, server, count, TooOld)
	return false
}

// remainingWeight returns the share of their weight that outcomes as of the time at still have.
func (v *validator) remainingWeight(at float64) float64 {
	return math.Exp2(-max(0, v.now-at) / config.Millis(max(1, v.rules.OutcomeHalfLife)))
}
