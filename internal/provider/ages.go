package provider

import (
	"math"
	"math/bits"
	"time"

	"plankrouter/internal/ending"
)

const (
	agesHalf   = 10 * time.Second // in which what was seen loses half its weight
	leastLimit = 16 * time.Millisecond
	brokenMost = 0.15 // part of calls that break, beyond that on new connections, on those that are too old
	brokenSeen = 3.0  // calls that must have broken before
)

// Ages learns how long a connection may have been idle and still carry a call. Providers say when they close idle ones,
// but what lies between may forget them long before, without a word: the next call is reset. An order must not meet that.
type Ages struct {
	seen [40]struct{ calls, broken float64 } // by the power of two above the milliseconds idle; 0 = new
	at   time.Time
}

// Learn takes note of a call's end.
func (a *Ages) Learn(now time.Time, r *Result) {
	fade := math.Exp2(-float64(now.Sub(a.at)) / float64(agesHalf))
	for i := range a.seen {
		a.seen[i].calls *= fade
		a.seen[i].broken *= fade
	}
	a.at = now
	of := &a.seen[min(bits.Len64(uint64(r.Idle.Milliseconds())), len(a.seen)-1)]
	switch r.Ending {
	case ending.ResetByPeer:
		of.broken++
		of.calls++
	case ending.Served, ending.ServerError, ending.Declined, ending.Malformed:
		of.calls++
	}
}

// Limit returns the longest time for which a connection may be idle, at most most.
func (a *Ages) Limit(most time.Duration) time.Duration {
	usual := a.seen[0].broken / max(1, a.seen[0].calls)
	for i, s := range a.seen {
		from := time.Duration(1) << i / 2 * time.Millisecond
		if from >= leastLimit && s.broken >= brokenSeen && s.broken/s.calls > usual+brokenMost {
			return min(most, from)
		}
	}
	return most
}
