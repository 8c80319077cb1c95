package simulated

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// list measures single changes of one endpoint each.
func (p *sceneRun) list() error {
	var times []float64
	u, _, err := p.measure(func() error {
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

// burst makes consecutive changes and measures until the last one is in force.
func (p *sceneRun) burst() error {
	idle, window, err := p.measure(p.sleep(p.plan.Window / 4))
	if err != nil {
		return err
	}
	var times []float64
	u, duration, err := p.measure(func() error {
		for i := range p.plan.Burst {
			m := p.endpoints[i%len(p.endpoints)]
			m.UpSince = 1 + int64(i) // another process at the same address, started long ago
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
	extra := u.Simulated.CPU.Seconds() - idle.Simulated.CPU.Seconds()/window.Seconds()*duration.Seconds()
	discoveryExtra := u.Discovery.CPU.Seconds() - idle.Discovery.CPU.Seconds()/window.Seconds()*duration.Seconds()
	p.addRow("burst", slices.Concat(spreadMetrics(times), []Figure{
		{"changes", float64(p.plan.Burst)},
		{"cpu_us_a_change", extra * 1e6 / n},
		{"discovery_us_a_change", discoveryExtra * 1e6 / n},
		{"cores_busy", (u.Simulated.CPU + u.Discovery.CPU).Seconds() / duration.Seconds()},
	},
		p.traffic(u, 0)))
	return nil
}

// configuration changes a class's latency objective, and measures from the reload command until the change is in force.
func (p *sceneRun) configuration() error {
	p.latencyObjective += 10 * time.Millisecond
	template, err := p.template()
	if err != nil {
		return err
	}
	if _, err := sendAll(p.simulatedFleet, command{Op: "prepare", Template: template}); err != nil {
		return err
	}
	var times []float64
	u, duration, err := p.measure(func() error {
		began := unixMs(time.Now())
		times, err = p.times(command{Op: "reload"})
		times = since(times, began)
		return err
	})
	if err != nil {
		return err
	}
	p.addRow("configuration", slices.Concat(spreadMetrics(times), []Figure{
		{"cpu_us_a_sidecar", u.Simulated.CPU.Seconds() * 1e6 / float64(p.set.Sidecars)}, {"took_ms", ms(duration)},
	}))
	return nil
}
