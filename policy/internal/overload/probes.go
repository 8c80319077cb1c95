package overload

import "math"

// Servers that report no load tell it all the same where their probes queue with requests: a probe takes as many times its
// unhindered time as the server has requests to work on at once. That needs no count of own requests, which tell one of
// many nothing of what the others have sent.

const (
	driftTime = 60e3 // ms in which what counts as the least time grows by e: routes and machines change
	leastTime = 0.05 // ms; no clock or network tells shorter probes apart
)

// Probes keeps the least time that probes have taken, by zone: the way there and back and the unhindered probe.
type Probes struct{ zones map[int]least }

type least struct{ took, at float64 }

// Load is how crowded a server of that zone is by a probe that was answered at now and took so long, its connection being
// up. It counts as requests in flight do in reports, in units in which Model, as long as it has learned nothing else, takes a
// request to be stretched by the waiting in the probe over the least time that any has taken. It is about 0 where probes don't
// queue with requests.
func (p *Probes) Load(now float64, zone int, took float64) float64 {
	if p.zones == nil {
		p.zones = map[int]least{}
	}
	z, known := p.zones[zone]
	if z.took *= math.Exp((now - z.at) / driftTime); !known || took < z.took {
		z.took = took
	}
	z.at = now
	p.zones[zone] = z
	unit := z.took
	for _, other := range p.zones {
		unit = min(unit, other.took)
	}
	return sideBySidePrior * (took - z.took) / max(unit, leastTime)
}
