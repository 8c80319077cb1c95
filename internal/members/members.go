// Package members has the words in which every source of membership speaks of providers: the platform's directory, a
// static list, an application. What follows from them (drains, cold starts, empty lists) is enforced once, in the core.
package members

import (
	"fmt"
	"net"
)

// Phases of a provider. Any other word counts as draining: it is not the one that asks for new work.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only among changes
)

// Member is one provider, as a line of the platform's list.
type Member struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	UpSince  float64 `json:"up_since_ms"` // start of its process in Unix milliseconds; 0 = long ago
}

// List is what a source has to say: the whole list, or what has changed.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Clean takes out the lines that nothing can be done with and says what is wrong with each, by its position.
func (l *List) Clean() (faults []error) {
	kept := l.Members[:0]
	for i, m := range l.Members {
		_, _, err := net.SplitHostPort(m.Address)
		switch {
		case m.ID == "":
			faults = append(faults, fmt.Errorf("members[%d].id: missing", i))
		case err != nil && m.Phase == Serving:
			faults = append(faults, fmt.Errorf("members[%d].host_port: %q is not host:port", i, m.Address))
		default:
			kept = append(kept, m)
		}
	}
	l.Members = kept
	return faults
}
