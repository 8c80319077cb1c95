// Package overload judges how crowded servers are: from load that they report, from the time that probes take where they
// queue with requests, and from the answers to own requests of late, over all servers. One instance of many sees each
// server seldom, so that nothing here rests on counting at a single server what this instance has sent there. It does no
// input or output and reads no clock; times are in milliseconds from any fixed origin.
package overload

import "math"

const (
	priorConcurrency = 6.0 // requests side by side before any sample: waiting must be shown, not feared
	priorWeight      = 2.0 // samples that a prior weighs
	fadeTime         = 5e3 // ms in which samples of response times fade by e
)

// Model rebuilds the response time at a load from service times, which leave out waiting, and loads.
type Model struct {
	SumLoadSquared, SumLoadLatency float64 // of the least-squares line through the origin: waiting over load
	FadedAt                        float64 // when it was aged last
	Classes                        []Mean
}

// Mean is that of one class of requests, as a part of the service time. N weighs its samples.
type Mean struct{ Count, Sum, Prior float64 }

// Fade lets old samples fade: an instance that refuses for want of room gets none and must not believe its last.
func (m *Model) Fade(now float64) {
	factor := math.Exp((m.FadedAt - now) / fadeTime)
	m.SumLoadSquared, m.SumLoadLatency, m.FadedAt = m.SumLoadSquared*factor, m.SumLoadLatency*factor, now
	for i := range m.Classes {
		m.Classes[i].Count, m.Classes[i].Sum = m.Classes[i].Count*factor, m.Classes[i].Sum*factor
	}
}

// Add learns from an attempt that took ratio times the service time at that load; ended is 1, or 0 if it was given up.
func (m *Model) Add(class int, load, ratio, ended float64) {
	mean := &m.Classes[class]
	mean.Count, mean.Sum = mean.Count+ended, mean.Sum+ratio/m.Stretch(load)
	if 2*load >= m.Concurrency() { // a low load tells nothing of how much would fit
		m.SumLoadSquared, m.SumLoadLatency = m.SumLoadSquared+ended*load*load, m.SumLoadLatency+load*ratio/m.ClassFactor(class)
	}
}

// Normalize makes the means of classes parts of what all requests take, by their samples. Where no server reports its service
// time that is learned from the same answers: only the product shows, and both would wander.
func (m *Model) Normalize() {
	var n, sum float64
	for _, c := range m.Classes {
		n, sum = n+c.Count, sum+c.Sum
	}
	for i := range m.Classes {
		m.Classes[i].Sum *= (n + priorWeight) / (sum + priorWeight)
	}
}

// AddDeclined learns from a request that was turned away at that load: the server is crowded, whatever its service time, and
// counts as stretched so far.
func (m *Model) AddDeclined(load, stretch float64) {
	m.SumLoadSquared, m.SumLoadLatency = m.SumLoadSquared+load*load, m.SumLoadLatency+load*stretch
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

// Stretch is the response time over an unhindered one at a load, 1 or more.
func (m *Model) Stretch(load float64) float64 { return max(1, load/m.Concurrency()) }
