package dispatch

import (
	"errors"
	"plankrouter/internal/stableid"
	"plankrouter/policy"
	"time"
)

// Change is what a reload may change of a pool. Classes and tenants go by numbers that keep their meaning for what is open.
type Change struct {
	Logic            policy.Config
	Classes, Tenants stableid.Plan
	Deployment       string
	DrainGrace       time.Duration
}

var errStopped = errors.New("the pool has stopped")

// Change takes other settings, or none of them, and returns once they are in force.
func (s *Pool) Change(c Change) error {
	err, ok := ask(s, func(done chan<- error) event { return changing{c, done} })
	if !ok {
		return errStopped
	}
	return err
}

func (e changing) apply(s *Pool) {
	err := s.bal.Reconfigure(vouching(e.Logic, e.DrainGrace), e.Classes.From, e.Tenants.From)
	if err == nil {
		s.set.Logic, s.set.Deployment, s.set.DrainGrace = e.Logic, e.Deployment, e.DrainGrace
		s.classes, s.tenants = e.Classes.Order, e.Tenants.Order
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
