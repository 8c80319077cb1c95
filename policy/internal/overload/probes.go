package overload

import "math"

// Servers that report no load tell it all the same where their probes queue with requests: a probe takes as many times its
// unhindered time as the server has requests to work on at once. That needs no count of own requests, which tell one of
// many nothing of what the others have sent.

const (
	minTimeDrift = 60e3 // ms in which what counts as the least time grows by e: routes and machines change
	minProbeTime = 0.05 // ms; no clock or network tells shorter probes apart
)

// ProbeTimes keeps the least time that probes have taken, by zone: the way there and back and the unhindered probe.
type ProbeTimes struct{ zones map[int]minTime }

type minTime struct{ duration, at float64 }

// Load is how crowded a server of that zone is by a probe that was answered at now and took so long, its connection being
// up. It counts as requests in flight do in reports, in units in which Model, as long as it has learned nothing else, takes a
// request to be stretched by the waiting in the probe over the least time that any has taken. It is about 0 where probes don't
// queue with requests.
func (p *ProbeTimes) Load(now float64, zone int, duration float64) float64 {
	if p.zones == nil {
		p.zones = map[int]minTime{}
	}
	z, known := p.zones[zone]
	if z.duration *= math.Exp((now - z.at) / minTimeDrift); !known || duration < z.duration {
		z.duration = duration
	}
	z.at = now
	p.zones[zone] = z
	unit := z.duration
	for _, other := range p.zones {
		unit = min(unit, other.duration)
	}
	return priorConcurrency * (duration - z.duration) / max(unit, minProbeTime)
}
