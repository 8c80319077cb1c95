// Package stats has the moving averages and quantiles used by the policy. It reads no clock: times are in milliseconds
// from any fixed origin.
package stats

import (
	"math"
	"slices"
)

const (
	rateDecayTime = 2000.0 // ms in which an event's weight in a rate decays by a factor of e
	successDecay  = 0.9    // factor by which each new outcome reduces the weight of earlier ones in a success rate
)

// Rate is the exponentially weighted rate of an event: Value is the decayed count of events at time At.
type Rate struct{ Value, At float64 }

// Add counts an event at now.
func (r *Rate) Add(now float64) {
	r.Value = r.Value*math.Exp((r.At-now)/rateDecayTime) + 1
	r.At = now
}

// PerMs returns the number of events per millisecond at now.
func (r *Rate) PerMs(now float64) float64 {
	return r.Value * math.Exp((r.At-now)/rateDecayTime) / rateDecayTime
}

// SuccessRate is the fraction of recent trials that succeeded, exponentially weighted.
type SuccessRate float64

// Add counts a trial.
func (r *SuccessRate) Add(success bool) {
	*r *= successDecay
	if success {
		*r += 1 - successDecay
	}
}

// Quantile returns the q-th quantile of values, or none if there are no values. It sorts values.
func Quantile(q float64, values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Window holds the newest samples. The zero value is empty.
type Window struct{ samples []float64 }

// Add adds a sample and, if there are then more than maxSamples, removes the oldest.
func (w *Window) Add(sample float64, maxSamples int) {
	w.samples = append(w.samples, sample)
	if len(w.samples) > maxSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
}

// Quantile returns the q-th quantile of the samples, or 0 if there are none.
func (w *Window) Quantile(q float64) float64 { return Quantile(q, slices.Clone(w.samples), 0) }

// Len returns the number of samples.
func (w *Window) Len() int { return len(w.samples) }
