// Package overload judges how loaded servers are: from load that they report, from the time that probes take where they
// queue with requests, and from the answers to own requests of late, over all servers. One instance of many sees each
// server seldom, so that nothing here rests on counting at a single server what this instance has sent there. It does no
// input or output and reads no clock; times are in milliseconds from any fixed origin.
package overload

import "math"

const (
	priorConcurrency = 6.0 // of a server before any sample: servers count as free until they are seen to wait
	priorWeight      = 2.0 // samples that a prior weighs
	fadeTime         = 5e3 // ms in which samples of response times fade by e
)

// Model rebuilds the response time at a load from service times, which leave out waiting, and loads.
type Model struct {
	SumLoadSquared float64 // of the least-squares line through the origin: waiting over load
	SumLoadLatency float64
	FadedAt        float64
	Classes        []Mean
}

// Mean is that of one class of requests, as a part of the service time. Count weighs its samples.
type Mean struct{ Count, Sum, Prior float64 }

// NewModel returns one for classes with those latency targets: what is to be answered sooner is taken to need less time.
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

// Fade lets old samples fade: an instance that refuses for want of capacity gets no new ones and must not rely on its last.
func (m *Model) Fade(now float64) {
	factor := math.Exp((m.FadedAt - now) / fadeTime)
	m.SumLoadSquared *= factor
	m.SumLoadLatency *= factor
	m.FadedAt = now
	for i := range m.Classes {
		m.Classes[i].Count *= factor
		m.Classes[i].Sum *= factor
	}
}

// Add learns from an attempt that took ratio times the service time at that load until it was answered or given up.
func (m *Model) Add(class int, load, ratio float64, answered bool) {
	weight := 0.0
	if answered {
		weight = 1
	}
	mean := &m.Classes[class]
	stretch := m.Stretch(load)
	mean.Count += weight
	mean.Sum += ratio / stretch
	if 2*load >= m.Concurrency() { // a low load does not show how much would fit
		m.SumLoadSquared += weight * load * load
		m.SumLoadLatency += load * ratio / m.ClassFactor(class)
	}
}

// Normalize makes the means of classes parts of what all requests take, by their samples. Where no server reports its service
// time that is learned from the same answers: only the product shows, and both would wander.
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

// AddDeclined learns from a request that a server declined at that load: the server is full, whatever its service time, and
// counts as stretched so far.
func (m *Model) AddDeclined(load, stretch float64) {
	m.SumLoadSquared += load * load
	m.SumLoadLatency += load * stretch
}

// ClassFactor is the mean of a class as a part of the service time.
func (m *Model) ClassFactor(class int) float64 {
	mean := &m.Classes[class]
	return (mean.Sum + priorWeight*mean.Prior) / (mean.Count + priorWeight)
}

// Concurrency is the load at which a server runs all that it has without making others wait.
func (m *Model) Concurrency() float64 {
	return max(1, (m.SumLoadSquared+2*priorConcurrency*priorConcurrency)/(m.SumLoadLatency+2*priorConcurrency))
}

// Stretch is the response time at a load over that of a free server, 1 or more.
func (m *Model) Stretch(load float64) float64 { return max(1, load/m.Concurrency()) }
