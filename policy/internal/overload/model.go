// Package overload estimates the load of servers: from their load reports, from the duration of probes if those queue with
// requests, and from the durations of this instance's recent attempts at all servers. One of many instances sends too little
// to any single server, so no estimate depends on its own request count there. The package does no input or output and
// reads no clock; times are in milliseconds from any fixed origin.
package overload

import "math"

const (
	priorConcurrency = 6.0 // concurrency assumed before any sample: servers count as free until queueing is observed
	priorWeight      = 2.0 // weight of a prior, in samples
	decayTime        = 5e3 // ms in which the weight of a sample decays by a factor of e
)

// Model predicts the response time of a server from its service time, which excludes queueing, and its load. Its parameters are
// learned from durations of attempts at all servers.
type Model struct {
	SumLoadSquared float64 // sums of the least-squares fit, through the origin, of the stretch to the load
	SumLoadLatency float64
	DecayedAt      float64
	Classes        []Mean
}

// Mean is the mean duration of a class of requests, as a multiple of the service time. Count and Sum are decaying sums over
// its samples; Prior is the value assumed without samples.
type Mean struct{ Count, Sum, Prior float64 }

// NewModel returns a Model for classes with the given latency targets in ms. Until there are samples, the duration of a class is
// assumed to be proportional to its target.
func NewModel(targets []float64) Model {
	mean := 0.0
	for _, target := range targets {
		mean += target / float64(len(targets))
	}
	m := Model{}
	for _, target := range targets {
		m.Classes = append(m.Classes, Mean{Prior: target / mean})
	}
	return m
}

// Decay reduces the weight of old samples: an instance that rejects requests for lack of capacity gets no new samples, and must
// not rely on its last ones for long.
func (m *Model) Decay(now float64) {
	factor := math.Exp((m.DecayedAt - now) / decayTime)
	m.SumLoadSquared *= factor
	m.SumLoadLatency *= factor
	m.DecayedAt = now
	for i := range m.Classes {
		m.Classes[i].Count *= factor
		m.Classes[i].Sum *= factor
	}
}

// Add adds the sample of an attempt at a server with the given load that took ratio times the service time until it succeeded
// or timed out.
func (m *Model) Add(class int, load, ratio float64, succeeded bool) {
	weight := 0.0
	if succeeded {
		weight = 1
	}
	mean := &m.Classes[class]
	stretch := m.Stretch(load)
	mean.Count += weight
	mean.Sum += ratio / stretch
	if 2*load >= m.Concurrency() { // a low load does not show the server's concurrency
		m.SumLoadSquared += weight * load * load
		m.SumLoadLatency += load * ratio / m.ClassFactor(class)
	}
}

// Normalize scales the means of the classes so that their average over all samples is 1. It is needed if no server reports
// service times: those are then estimated from the same durations, only the product of both can be observed, and without
// normalization both would drift.
func (m *Model) Normalize() {
	var count, sum float64
	for _, class := range m.Classes {
		count += class.Count
		sum += class.Sum
	}
	for i := range m.Classes {
		m.Classes[i].Sum *= (count + priorWeight) / (sum + priorWeight)
	}
}

// AddDeclined adds the sample of a request that a server declined at the given load. The server is full, whatever its service
// time, and counts as having the given stretch.
func (m *Model) AddDeclined(load, stretch float64) {
	m.SumLoadSquared += load * load
	m.SumLoadLatency += load * stretch
}

// ClassFactor returns the mean duration of a class as a multiple of the service time.
func (m *Model) ClassFactor(class int) float64 {
	mean := &m.Classes[class]
	return (mean.Sum + priorWeight*mean.Prior) / (mean.Count + priorWeight)
}

// Concurrency returns the highest load, in requests, that a server processes without queueing.
func (m *Model) Concurrency() float64 {
	return max(1, (m.SumLoadSquared+2*priorConcurrency*priorConcurrency)/(m.SumLoadLatency+2*priorConcurrency))
}

// Stretch returns the response time at the given load divided by that of a server with free capacity, at least 1.
func (m *Model) Stretch(load float64) float64 { return max(1, load/m.Concurrency()) }
