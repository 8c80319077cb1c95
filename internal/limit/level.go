package limit

import (
	"math"
	"slices"
)

const rateMemory = 2000.0 // ms over which a rate is averaged

// Bucket is an allowance: V may be used at At, and it fills steadily up to a limit.
type Bucket struct{ Value, At float64 }

// Fill brings the bucket up to now, and reports whether it holds one.
func (b *Bucket) Fill(now, perMs, full float64) bool {
	b.Value, b.At = min(full, b.Value+perMs*(now-b.At)), now
	return b.Value >= 1
}

// Take takes one out of the bucket, if it holds one now.
func (b *Bucket) Take(now, perMs, full float64) bool {
	if !b.Fill(now, perMs, full) {
		return false
	}
	b.Value--
	return true
}

// Rate is how often something happens, exponentially weighted.
type Rate struct{ Value, At float64 }

// Add counts one that happens now.
func (r *Rate) Add(now float64) { r.Value, r.At = r.Value*math.Exp((r.At-now)/rateMemory)+1, now }

// PerMs is the rate at now.
func (r *Rate) PerMs(now float64) float64 {
	return r.Value * math.Exp((r.At-now)/rateMemory) / rateMemory
}

// SuccessRate is the part of late of tries that came out well, each new one counting for a tenth.
type SuccessRate float64

// Add takes note of one.
func (l *SuccessRate) Add(well bool) {
	*l *= 0.9
	if well {
		*l += 0.1
	}
}

// SlowStartFraction is the part of its capacity that a process bears at least: it begins with share and is warm within a time. One
// whose start is not known, as of those that began long ago, is warm.
func SlowStartFraction(age float64, started bool, share, within float64) float64 {
	if !started || within <= 0 {
		return 1
	}
	return min(1, share+(1-share)*max(0, age/within))
}

// Quantile is the q-th of v, which it sorts; none, if v is empty.
func Quantile(q float64, v []float64, none float64) float64 {
	if len(v) == 0 {
		return none
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}
