// Package backoff computes exponential retry delays: longer after each failure, so that what is down is not overloaded;
// bounded, so that its recovery is noticed; and with jitter, so that many instances that wait for the same recovery do not
// retry at the same time. It has no clock, timer or random source of its own.
package backoff

import "math"

// Policy is an exponential backoff. First and Max are in the same unit, which is also that of delays. It is safe for
// concurrent use.
type Policy struct {
	First  float64 // delay after the first failure
	Max    float64 // upper bound on any delay
	Factor float64 // by which the delay grows with each failure; 1 or more
	Jitter float64 // random part of a delay, from 0 (none) to 1
}

// Wait returns the delay from the nth consecutive failure (1 or more) to the next attempt. The caller passes a random number in
// [0, 1). The result lies between (1 - Jitter) times the full delay and the full delay.
func (p Policy) Wait(nth int, random float64) float64 {
	full := p.First * math.Pow(p.Factor, float64(max(1, nth)-1)) // +Inf after very many failures; min bounds it
	return min(p.Max, full) * (1 - p.Jitter*random)
}
