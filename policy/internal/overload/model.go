// Package overload judges how crowded servers are: from load that they report, from the time that probes take where they
// queue with requests, and from the answers to own requests of late, over all servers. One instance of many sees each
// server seldom, so that nothing here rests on counting at a single server what this instance has sent there. It does no
// input or output and reads no clock; times are in milliseconds from any fixed origin.
package overload

import "math"

const (
	sideBySidePrior = 6.0 // requests side by side before any sample: waiting must be shown, not feared
	priorWeight     = 2.0 // samples that a prior weighs
	memory          = 5e3 // ms in which samples of response times fade by e
)

// Model rebuilds the response time at a load from service times, which leave out waiting, and loads.
type Model struct {
	SumLoadSquared, SumLoadLatency float64 // of the least-squares line through the origin: waiting over load
	At                             float64 // when it was aged last
	Class                          []Mean
}

// Mean is that of one class of requests, as a part of the service time. N weighs its samples.
type Mean struct{ N, Sum, Prior float64 }

// Age lets old samples fade: an instance that refuses for want of room gets none and must not believe its last.
func (m *Model) Age(now float64) {
	k := math.Exp((m.At - now) / memory)
	m.SumLoadSquared, m.SumLoadLatency, m.At = m.SumLoadSquared*k, m.SumLoadLatency*k, now
	for i := range m.Class {
		m.Class[i].N, m.Class[i].Sum = m.Class[i].N*k, m.Class[i].Sum*k
	}
}

// Add learns from an attempt that took ratio times the service time at that load; ended is 1, or 0 if it was given up.
func (m *Model) Add(class int, load, ratio, ended float64) {
	k := &m.Class[class]
	k.N, k.Sum = k.N+ended, k.Sum+ratio/m.Stretch(load)
	if 2*load >= m.SideBySide() { // a low load tells nothing of how much would fit
		m.SumLoadSquared, m.SumLoadLatency = m.SumLoadSquared+ended*load*load, m.SumLoadLatency+load*ratio/m.Of(class)
	}
}

// Level makes the means of classes parts of what all requests take, by their samples. Where no server reports its service
// time that is learned from the same answers: only the product shows, and both would wander.
func (m *Model) Level() {
	var n, sum float64
	for _, c := range m.Class {
		n, sum = n+c.N, sum+c.Sum
	}
	for i := range m.Class {
		m.Class[i].Sum *= (n + priorWeight) / (sum + priorWeight)
	}
}

// Full learns from a request that was turned away at that load: the server is crowded, whatever its service time, and
// counts as stretched so far.
func (m *Model) Full(load, stretch float64) {
	m.SumLoadSquared, m.SumLoadLatency = m.SumLoadSquared+load*load, m.SumLoadLatency+load*stretch
}

// Of is the mean of a class as a part of the service time.
func (m *Model) Of(class int) float64 {
	k := &m.Class[class]
	return (k.Sum + priorWeight*k.Prior) / (k.N + priorWeight)
}

// SideBySide is the load at which a server runs all that it has without making others wait.
func (m *Model) SideBySide() float64 {
	return max(1, (m.SumLoadSquared+2*sideBySidePrior*sideBySidePrior)/(m.SumLoadLatency+2*sideBySidePrior))
}

// Stretch is the response time over an unhindered one at a load, 1 or more.
func (m *Model) Stretch(load float64) float64 { return max(1, load/m.SideBySide()) }
