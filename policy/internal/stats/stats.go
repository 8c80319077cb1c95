// Package stats holds the averages and quantiles that decisions rest on. It reads no clock: times are in milliseconds from
// any fixed origin.
package stats

import (
	"math"
	"slices"
)

const (
	rateMemory    = 2000.0 // ms in which an event's weight in a rate falls by e
	successMemory = 0.9    // weight that each new outcome leaves to those before it in a success rate
)

// Rate is how often something happens, exponentially weighted: Value is the faded count of events at At.
type Rate struct{ Value, At float64 }

// Add counts an event at now.
func (r *Rate) Add(now float64) {
	r.Value = r.Value*math.Exp((r.At-now)/rateMemory) + 1
	r.At = now
}

// PerMs is the rate at now.
func (r *Rate) PerMs(now float64) float64 {
	return r.Value * math.Exp((r.At-now)/rateMemory) / rateMemory
}

// SuccessRate is the fraction of recent trials that succeeded, exponentially weighted.
type SuccessRate float64

// Add counts a trial.
func (r *SuccessRate) Add(success bool) {
	*r *= successMemory
	if success {
		*r += 1 - successMemory
	}
}

// Quantile is the q-th quantile of values, which it sorts, or none where there are no values.
func Quantile(q float64, values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Window holds the newest samples, up to a number of them.
type Window struct{ samples []float64 }

// Add takes a sample, for which the oldest leaves where there are more than maxSamples.
func (w *Window) Add(sample float64, maxSamples int) {
	w.samples = append(w.samples, sample)
	if len(w.samples) > maxSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
}

// Quantile is the q-th quantile of the samples, or 0 where there are none.
func (w *Window) Quantile(q float64) float64 { return Quantile(q, slices.Clone(w.samples), 0) }

// Len is the number of samples.
func (w *Window) Len() int { return len(w.samples) }
