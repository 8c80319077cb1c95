// Package backoff says how long to wait before something that has failed is tried again: longer each time, so that what
// is down is left alone, never longer than a bound, so that its return is noticed, and at random, so that many instances that
// wait for the same thing do not all come at once. It has no clock, no timer and no random source of its own.
package backoff

import "math"

// Policy is a growing wait. First and Most are in one unit, which is that of the result; its method is pure and safe
// for concurrent use.
type Policy struct {
	First  float64 // wait after the first failure
	Max    float64 // bound on any wait
	Factor float64 // by which each wait exceeds the one before; 1 or more
	Jitter float64 // part of a wait that is left to chance, from 0 (none) to 1
}

// Wait is the time from the failure that was the nth in a row (1 or more) to the next attempt; random lies in [0, 1) and
// comes from the caller. The result lies between (1 - Jitter) times the full wait and the full wait.
func (p Policy) Wait(nth int, random float64) float64 {
	full := p.First * math.Pow(p.Factor, float64(max(1, nth)-1)) // +Inf after very many failures, which min bounds
	return min(p.Max, full) * (1 - p.Jitter*random)
}
