package simulated

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// list times single changes, of one line each.
func (p *play) list() error {
	var times []float64
	u, _, err := p.during(func() error {
		for i := range p.plan.Changes {
			m := p.endpoints[i%len(p.endpoints)]
			m.Phase = map[string]string{fakes.Serving: fakes.Draining, fakes.Draining: fakes.Serving}[m.Phase]
			one, err := p.change([]fakes.Endpoint{m}, p.plan.Within)
			if err != nil {
				return err
			}
			times = append(times, one...)
			time.Sleep(p.plan.Gap)
		}
		return nil
	})
	if err != nil {
		return err
	}
	p.addRow("list", slices.Concat(spreadMetrics(times), p.traffic(u, 0)))
	return nil
}

// burst is one change after another, until the last is in force.
func (p *play) burst() error {
	quiet, window, err := p.during(p.sleep(p.plan.Window / 4))
	if err != nil {
		return err
	}
	var times []float64
	u, long, err := p.during(func() error {
		for i := range p.plan.Burst {
			m := p.endpoints[i%len(p.endpoints)]
			m.UpSince = 1 + int64(i) // another process at the same place, long ago
			within := time.Duration(0)
			if i == p.plan.Burst-1 {
				within = p.plan.Within
			}
			if times, err = p.change([]fakes.Endpoint{m}, within); err != nil {
				return err
			}
			time.Sleep(p.plan.Gap)
		}
		return nil
	})
	if err != nil {
		return err
	}
	n := float64(p.set.Sidecars * p.plan.Burst)
	extra := u.Simulated.CPU.Seconds() - quiet.Simulated.CPU.Seconds()/window.Seconds()*long.Seconds()
	there := u.Discovery.CPU.Seconds() - quiet.Discovery.CPU.Seconds()/window.Seconds()*long.Seconds()
	p.addRow("burst", slices.Concat(spreadMetrics(times), []Figure{
		{"changes", float64(p.plan.Burst)},
		{"cpu_us_a_change", extra * 1e6 / n},
		{"discovery_us_a_change", there * 1e6 / n},
		{"cores_busy", (u.Simulated.CPU + u.Discovery.CPU).Seconds() / long.Seconds()},
	},
		p.traffic(u, 0)))
	return nil
}

// configuration changes a class's latency objective and times it from the order to read the file until it is in force.
func (p *play) configuration() error {
	p.latencyObjective += 10 * time.Millisecond
	template, err := p.template()
	if err != nil {
		return err
	}
	if _, err := all(p.simulatedFleet, order{Op: "prepare", Template: template}); err != nil {
		return err
	}
	var times []float64
	u, long, err := p.during(func() error {
		began := unixMs(time.Now())
		times, err = p.times(order{Op: "reload"})
		times = since(times, began)
		return err
	})
	if err != nil {
		return err
	}
	p.addRow("configuration", slices.Concat(spreadMetrics(times), []Figure{
		{"cpu_us_a_sidecar", u.Simulated.CPU.Seconds() * 1e6 / float64(p.set.Sidecars)}, {"took_ms", ms(long)},
	}))
	return nil
}
