package overload

import "math"

// The load of a server that reports none can be estimated from the duration of its probes if they queue with requests: a
// probe then takes its shortest duration times the number of requests that the server works on. That includes the requests of
// other instances, which a count of own requests does not.

const (
	minTimeDrift = 60e3 // ms in which the shortest duration on record grows by a factor of e, since routes and machines change
	minProbeTime = 0.05 // ms; shorter durations can't be measured reliably
)

// ProbeTimes holds the shortest duration of a probe by zone, which is that of a probe without queueing. The zero value has none.
type ProbeTimes struct{ zones map[int]minTime }

type minTime struct{ duration, updatedAt float64 }

// Load returns the estimated load of a server in the zone by a probe whose response was received at now, after duration on an
// established connection. It is used in place of the RIF of a load report. The unit is such that a Model without samples
// predicts a stretch equal to the probe's queueing time divided by the shortest duration in any zone. It is about 0 if probes
// do not queue with requests.
func (p *ProbeTimes) Load(now float64, zone int, duration float64) float64 {
	if p.zones == nil {
		p.zones = map[int]minTime{}
	}
	shortest, known := p.zones[zone]
	shortest.duration *= math.Exp((now - shortest.updatedAt) / minTimeDrift)
	if !known || duration < shortest.duration {
		shortest.duration = duration
	}
	shortest.updatedAt = now
	p.zones[zone] = shortest
	unit := shortest.duration
	for _, other := range p.zones {
		unit = min(unit, other.duration)
	}
	return priorConcurrency * (duration - shortest.duration) / max(unit, minProbeTime)
}
