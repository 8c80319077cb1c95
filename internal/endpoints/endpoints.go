// Package endpoints has the endpoint list in the form in which every source gives it: discovery, a static list, an application. What
// follows from it (drains, slow starts, empty lists) is enforced once, by the dispatcher.
package endpoints

import (
	"errors"
	"fmt"
	"net"
)

// Phases of a server. Any other counts as draining: it is not the one that asks for new work.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only among changes
)

// Endpoint is one server, as a line of the list.
type Endpoint struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	StartedAt float64 `json:"up_since_ms"` // start of its process in Unix milliseconds; 0 = long ago
}

// List is the complete list, or what has changed.
type List struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Check returns an error that names, by its key in the list, what makes the line unusable.
func (e *Endpoint) Check() error {
	if e.ID == "" {
		return errors.New("id: missing")
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Phase == Serving {
		return fmt.Errorf("host_port: %q is not host:port", e.Address)
	}
	return nil
}

// RemoveInvalid removes the unusable lines and returns what is wrong with each, by its position.
func (l *List) RemoveInvalid() (problems []error) {
	valid := l.Endpoints[:0]
	for i, endpoint := range l.Endpoints {
		if err := endpoint.Check(); err != nil {
			problems = append(problems, fmt.Errorf("members[%d].%w", i, err))
		} else {
			valid = append(valid, endpoint)
		}
	}
	l.Endpoints = valid
	return problems
}

// Normalize leaves one line of each server that has several, and returns an error for each pair that contradict each other. The last one
// wins, unless it alone asks for new work, for the same process: a server that one line takes out of service gets nothing new by another.
func (l *List) Normalize() (problems []error) {
	positions := make(map[string]int, len(l.Endpoints))
	unique := l.Endpoints[:0]
	for _, endpoint := range l.Endpoints {
		position, again := positions[endpoint.ID]
		if !again {
			positions[endpoint.ID] = len(unique)
			unique = append(unique, endpoint)
			continue
		}
		if earlier := unique[position]; earlier != endpoint && endpoint.StartedAt <= earlier.StartedAt {
			problems = append(problems, fmt.Errorf("members: %q is %s and %s", endpoint.ID, earlier.Phase, endpoint.Phase))
			if endpoint.Phase == Serving && earlier.Phase != Serving {
				continue
			}
		}
		unique[position] = endpoint
	}
	l.Endpoints = unique
	return problems
}
