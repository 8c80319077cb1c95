// Package endpoints defines the endpoint list that every source provides: discovery, a static list, an application. The
// dispatcher alone enforces what follows from the list: drains, slow starts, empty lists.
package endpoints

import (
	"errors"
	"fmt"
	"net"
)

// Phases of a server. Any other value counts as draining, because only Serving permits new requests.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only in a list of changes
)

// Endpoint is the entry of one server in the list.
type Endpoint struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	StartedAt float64 `json:"up_since_ms"` // process start time in Unix milliseconds; 0 = long ago
}

// List is the complete list, or only the entries that have changed.
type List struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Check returns an error that names the invalid field by its JSON key, or nil.
func (e *Endpoint) Check() error {
	if e.ID == "" {
		return errors.New("id: missing")
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Phase == Serving {
		return fmt.Errorf("host_port: %q is not host:port", e.Address)
	}
	return nil
}

// RemoveInvalid removes the invalid entries and returns an error for each, with its position.
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

// Normalize removes duplicate entries of a server, and returns an error for each pair that contradict each other. It keeps the
// last entry, unless only the last one is Serving and it is not for a newer process: no entry for the same process returns a
// server to service that an earlier entry takes out of it.
func (l *List) Normalize() (problems []error) {
	positions := make(map[string]int, len(l.Endpoints))
	unique := l.Endpoints[:0]
	for _, endpoint := range l.Endpoints {
		position, duplicate := positions[endpoint.ID]
		if !duplicate {
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
