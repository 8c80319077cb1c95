// Package endpoints has the words in which every source of membership speaks of providers: the platform's directory, a
// static list, an application. What follows from them (drains, cold starts, empty lists) is enforced once, in the core.
package endpoints

import (
	"errors"
	"fmt"
	"net"
)

// Phases of a provider. Any other word counts as draining: it is not the one that asks for new work.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only among changes
)

// Endpoint is one provider, as a line of the platform's list.
type Endpoint struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	StartedAt float64 `json:"up_since_ms"` // start of its process in Unix milliseconds; 0 = long ago
}

// List is what a source has to say: the whole list, or what has changed.
type List struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Check says what makes the line one that nothing can be done with.
func (e *Endpoint) Check() error {
	if e.ID == "" {
		return errors.New("id: missing")
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Phase == Serving {
		return fmt.Errorf("host_port: %q is not host:port", e.Address)
	}
	return nil
}

// RemoveInvalid takes out the lines that nothing can be done with and says what is wrong with each, by its position.
func (l *List) RemoveInvalid() (faults []error) {
	kept := l.Endpoints[:0]
	for i, m := range l.Endpoints {
		if err := m.Check(); err != nil {
			faults = append(faults, fmt.Errorf("members[%d].%w", i, err))
		} else {
			kept = append(kept, m)
		}
	}
	l.Endpoints = kept
	return faults
}

// Normalize leaves one line of each provider that has several, and names those that contradict each other. The last one stands,
// unless it alone asks for new work, for the same process: whom one line takes out of service gets nothing new by another.
func (l *List) Normalize() (faults []error) {
	at := make(map[string]int, len(l.Endpoints))
	kept := l.Endpoints[:0]
	for _, m := range l.Endpoints {
		first, again := at[m.ID]
		if !again {
			at[m.ID] = len(kept)
			kept = append(kept, m)
			continue
		}
		if was := kept[first]; was != m && m.StartedAt <= was.StartedAt {
			faults = append(faults, fmt.Errorf("members: %q is %s and %s", m.ID, was.Phase, m.Phase))
			if m.Phase == Serving && was.Phase != Serving {
				continue
			}
		}
		kept[first] = m
	}
	l.Endpoints = kept
	return faults
}
