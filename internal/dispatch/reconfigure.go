package dispatch

import (
	"errors"
	"plankrouter/internal/stableid"
	"plankrouter/policy"
	"time"
)

// Reconfiguration is what a reload may change of a pool. Classes and tenants go by numbers that keep their meaning for what is open.
type Reconfiguration struct {
	Policy           policy.Config
	Classes, Tenants stableid.Mapping
	Deployment       string
	DrainGrace       time.Duration
}

var errStopped = errors.New("the pool has stopped")

// Reconfigure takes other settings, or none of them, and returns once they are in force.
func (d *Dispatcher) Reconfigure(c Reconfiguration) error {
	err, ok := query(d, func(done chan<- error) event { return reconfigured{c, done} })
	if !ok {
		return errStopped
	}
	return err
}

func (e reconfigured) apply(d *Dispatcher) {
	err := d.balancer.Reconfigure(withProbeValidity(e.Policy, e.DrainGrace), e.Classes.PredecessorOf, e.Tenants.PredecessorOf)
	if err == nil {
		d.options.Policy, d.options.Deployment, d.options.DrainGrace = e.Policy, e.Deployment, e.DrainGrace
		d.classPositions, d.tenantPositions = e.Classes.ByPosition, e.Tenants.ByPosition
	}
	e.done <- err
}

// positions returns the first n numbers.
func positions(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
