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
func (s *Dispatcher) Reconfigure(c Reconfiguration) error {
	err, ok := ask(s, func(done chan<- error) event { return changing{c, done} })
	if !ok {
		return errStopped
	}
	return err
}

func (e changing) apply(s *Dispatcher) {
	err := s.bal.Reconfigure(vouching(e.Policy, e.DrainGrace), e.Classes.PredecessorOf, e.Tenants.PredecessorOf)
	if err == nil {
		s.set.Policy, s.set.Deployment, s.set.DrainGrace = e.Policy, e.Deployment, e.DrainGrace
		s.classes, s.tenants = e.Classes.ByPosition, e.Tenants.ByPosition
	}
	e.done <- err
}

// upTo returns the first n numbers.
func upTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
