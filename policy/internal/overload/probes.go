package overload

import "math"

// Servers that report no load show it all the same where their probes queue with requests: a probe takes as many times its
// shortest time as the server has requests to work on at once. That needs no count of own requests, which say nothing of
// what other instances have sent.

const (
	minTimeDrift = 60e3 // ms in which what counts as the shortest time grows by e: routes and machines change
	minProbeTime = 0.05 // ms; no clock or network tells shorter probes apart
)

// ProbeTimes keeps the shortest time that probes have taken, by zone: the round trip and the probe at a free server.
type ProbeTimes struct{ zones map[int]minTime }

type minTime struct{ duration, updatedAt float64 }

// Load is how loaded a server of that zone is by a probe that was answered at now and took duration on a connection that
// was up. It counts as requests in flight do in reports, in units in which a Model that has learned nothing takes a request to
// be stretched by the probe's waiting over the shortest time of any zone. It is about 0 where probes don't queue with requests.
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
