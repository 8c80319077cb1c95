package simulated

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// zone takes a zone, an eighth of the servers, down under load: the servers refuse connections, and discovery deletes them
// at once. Then it restores the zone.
func (p *sceneRun) zone() error {
	if _, err := sendAll(p.simulatedFleet, command{Op: "calls", PerS: p.rate()}); err != nil {
		return err
	}
	time.Sleep(p.plan.Settle)
	var lost []fakes.Endpoint
	var addresses []string
	for _, m := range p.endpoints {
		if m.Locality == zone(zones-1) {
			addresses = append(addresses, m.Address)
			m.Phase = fakes.Deleted
			lost = append(lost, m)
		}
	}
	var times []float64
	u, duration, err := p.measure(func() (err error) {
		if _, err = sendAll(p.simulatedFleet, command{Op: "down", At: addresses, Down: true}); err != nil {
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
		p.cpu(u, duration)[:2], p.traffic(u, 0)))
	return p.restoreZone(lost)
}

// restoreZone restores a lost zone with new processes, which start cold, and stops the load.
func (p *sceneRun) restoreZone(lost []fakes.Endpoint) error {
	restored := slices.Clone(lost)
	for i := range restored {
		restored[i].Phase, restored[i].UpSince = fakes.Serving, time.Now().UnixMilli()
		restored[i].Address = serverAddress(1, slices.IndexFunc(p.endpoints, func(m fakes.Endpoint) bool { return m.ID == restored[i].ID }))
	}
	before, err := p.sent()
	if err != nil {
		return err
	}
	var times []float64
	u, duration, err := p.measure(func() (err error) {
		times, err = p.change(restored, p.plan.Within)
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
		p.cpu(u, duration)[:2], p.traffic(u, 0)))
	_, err = sendAll(p.simulatedFleet, command{Op: "calls"})
	return err
}

// sent returns the number of requests that each server address has received.
func (p *sceneRun) sent() (map[string]int64, error) {
	responses, err := sendAll(p.simulatedFleet, command{Op: "sent"})
	sum := map[string]int64{}
	for _, r := range responses {
		for address, n := range r.Sent {
			sum[address] += n
		}
	}
	return sum, err
}
