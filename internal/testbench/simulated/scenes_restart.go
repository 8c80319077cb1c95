package simulated

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const maxRestartTime = 30 * time.Second // timeout for a restarted sidecar to get discovery's first response

// restart stops some sidecars and starts them all at once: first with the endpoint list in their configuration, then without.
func (p *sceneRun) restart() error {
	for _, known := range []bool{true, false} {
		var times []float64
		u, _, err := p.measure(func() error {
			responses, left := make([]response, len(p.simulatedFleet)), min(p.plan.Restart, p.set.Sidecars)
			var group errgroup.Group
			for i, part := range p.simulatedFleet {
				n := min(left, p.counts[i])
				left -= n
				group.Go(func() (err error) {
					responses[i], err = part.send(command{Op: "restart", Count: n, Known: known, Within: maxRestartTime})
					return err
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			for _, r := range responses {
				times = append(times, r.Times...)
			}
			return nil
		})
		if err != nil {
			return err
		}
		name := "restart with a list"
		if !known {
			name = "restart without one"
		}
		p.addRow(name, slices.Concat([]Figure{{"restarted", float64(len(times))}}, spreadMetrics(times), p.traffic(u, 0)))
	}
	return nil
}
