package simulated

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const maxRestartTime = 30 * time.Second // for which a restarted sidecar is waited for

// restart ends some sidecars and starts them all at once: with the list of their configuration, then without.
func (p *play) restart() error {
	for _, known := range []bool{true, false} {
		var times []float64
		u, _, err := p.during(func() error {
			replies, left := make([]reply, len(p.simulatedFleet)), min(p.plan.Restart, p.set.Sidecars)
			var group errgroup.Group
			for i, part := range p.simulatedFleet {
				n := min(left, p.counts[i])
				left -= n
				group.Go(func() (err error) {
					replies[i], err = part.send(order{Op: "restart", Count: n, Known: known, Within: maxRestartTime})
					return err
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			for _, r := range replies {
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
