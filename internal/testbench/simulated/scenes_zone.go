package simulated

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// zone loses a zone, an eighth of the servers, under calls: they refuse connections and discovery knows at once. Then they come
// back as new processes.
func (p *play) zone() error {
	if _, err := all(p.simulatedFleet, order{Op: "calls", PerS: p.rate()}); err != nil {
		return err
	}
	time.Sleep(p.plan.Settle)
	var lost []fakes.Endpoint
	var gone []string
	for _, m := range p.endpoints {
		if m.Locality == zone(zones-1) {
			gone = append(gone, m.Address)
			m.Phase = fakes.Deleted
			lost = append(lost, m)
		}
	}
	var times []float64
	u, long, err := p.during(func() (err error) {
		if _, err = all(p.simulatedFleet, order{Op: "down", At: gone, Down: true}); err != nil {
			return err
		}
		times, err = p.change(lost, p.plan.Within)
		time.Sleep(p.plan.Zone)
		return err
	})
	if err != nil {
		return err
	}
	p.addRow("zone lost", slices.Concat(spreadMetrics(times), []Figure{
		{"lines", float64(len(lost))},
		{"served", float64(u.Simulated.Served)},
		{"refused", float64(u.Simulated.Refused)},
		{"failed", float64(u.Simulated.Failed)},
		{"unreached", float64(u.Simulated.Unreached)},
	},
		p.cpu(u, long)[:2], p.traffic(u, 0)))
	return p.returnZone(lost)
}

// returnZone brings a lost zone back as new processes, which start cold, and ends the calls.
func (p *play) returnZone(lost []fakes.Endpoint) error {
	back := slices.Clone(lost)
	for i := range back {
		back[i].Phase, back[i].UpSince = fakes.Serving, time.Now().UnixMilli()
		back[i].Address = serverAddress(1, slices.IndexFunc(p.endpoints, func(m fakes.Endpoint) bool { return m.ID == back[i].ID }))
	}
	before, err := p.sent()
	if err != nil {
		return err
	}
	var times []float64
	u, long, err := p.during(func() (err error) {
		times, err = p.change(back, p.plan.Within)
		time.Sleep(p.plan.Zone)
		return err
	})
	if err != nil {
		return err
	}
	after, err := p.sent()
	if err != nil {
		return err
	}
	var coldCalls, maxColdCalls, warmCalls float64
	for _, m := range p.endpoints {
		calls := float64(after[m.Address] - before[m.Address])
		if m.Locality == zone(zones-1) {
			coldCalls += calls
			maxColdCalls = max(maxColdCalls, calls)
		} else {
			warmCalls += calls
		}
	}
	warmMean := max(1e-9, warmCalls/float64(len(p.endpoints)-len(lost)))
	p.addRow("zone back", slices.Concat(spreadMetrics(times), []Figure{
		{"lines", float64(len(lost))},
		{"cold_of_warm", coldCalls / float64(len(lost)) / warmMean},
		{"coldest_most_of_warm", maxColdCalls / warmMean},
		{"served", float64(u.Simulated.Served)},
		{"refused", float64(u.Simulated.Refused)},
		{"failed", float64(u.Simulated.Failed)},
	},
		p.cpu(u, long)[:2], p.traffic(u, 0)))
	_, err = all(p.simulatedFleet, order{Op: "calls"})
	return err
}

// sent returns the calls that each address has had.
func (p *play) sent() (map[string]int64, error) {
	replies, err := all(p.simulatedFleet, order{Op: "sent"})
	sum := map[string]int64{}
	for _, r := range replies {
		for address, n := range r.Sent {
			sum[address] += n
		}
	}
	return sum, err
}
