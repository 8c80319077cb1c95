package dispatch

import (
	"errors"
	"time"

	"plankrouter/internal/stableid"
	"plankrouter/policy"
)

// Reconfiguration holds the settings that a reload may change. Positions of classes and tenants are stable:
// they keep their meaning for open requests.
type Reconfiguration struct {
	Policy           policy.Config
	Classes, Tenants stableid.Mapping
	Deployment       string
	DrainGrace       time.Duration
}

var errStopped = errors.New("the dispatcher has stopped")

// Reconfigure applies all of the settings, or none if it returns an error, and returns once they are in force.
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
		d.options.Policy = e.Policy
		d.options.Deployment = e.Deployment
		d.options.DrainGrace = e.DrainGrace
		d.classPositions = e.Classes.ByPosition
		d.tenantPositions = e.Tenants.ByPosition
	}
	e.done <- err
}

// positions returns the numbers from 0 to n-1.
func positions(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
