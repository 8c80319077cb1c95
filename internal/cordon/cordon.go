// Package cordon has the servers that operators have taken out of service, and keeps them in a file that all processes of a sidecar
// share. A Set reads no clock and touches no file.
package cordon

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// ErrUnknownServer says that a server is neither listed nor cordoned.
var ErrUnknownServer = errors.New("server is not listed")

// maxUncordoned bounds the servers whose return is remembered; the earliest are forgotten.
const maxUncordoned = 2048

// Set is the cordons in force. Dates are Unix milliseconds. The zero value cordons no server.
type Set struct {
	Cordoned   map[string]float64 `json:"out"`  // since when, by id; in force whatever the list says
	Uncordoned map[string]float64 `json:"back"` // since when it may be used again: it may have been restarted meanwhile
}

// Clone returns a copy that shares nothing.
func (s Set) Clone() Set { return Set{maps.Clone(s.Cordoned), maps.Clone(s.Uncordoned)} }

// Cordon takes the server out of service from that date on. One that is cordoned remains so since it was.
func (s *Set) Cordon(id string, date float64, listed bool) error {
	if _, cordoned := s.Cordoned[id]; cordoned {
		return nil
	}
	if !listed {
		return ErrUnknownServer
	}
	if s.Cordoned == nil {
		s.Cordoned = map[string]float64{}
	}
	s.Cordoned[id] = date
	delete(s.Uncordoned, id)
	return nil
}

// Uncordon puts the server back. One that is listed and not cordoned remains as it is.
func (s *Set) Uncordon(id string, date float64, listed bool) error {
	if _, cordoned := s.Cordoned[id]; !cordoned {
		if !listed {
			return ErrUnknownServer
		}
		return nil
	}
	delete(s.Cordoned, id)
	if s.Uncordoned == nil {
		s.Uncordoned = map[string]float64{}
	}
	s.Uncordoned[id] = date
	if len(s.Uncordoned) > maxUncordoned {
		earliest := slices.MinFunc(slices.Collect(maps.Keys(s.Uncordoned)), func(a, b string) int {
			return cmp.Compare(s.Uncordoned[a], s.Uncordoned[b])
		})
		delete(s.Uncordoned, earliest)
	}
	return nil
}

// ChangedIDs returns the ids of the servers about which next differs, in order.
func (s Set) ChangedIDs(next Set) (ids []string) {
	addDifferent := func(before, after map[string]float64) {
		for id, date := range before {
			if after[id] != date {
				ids = append(ids, id)
			}
		}
	}
	addDifferent(s.Cordoned, next.Cordoned)
	addDifferent(next.Cordoned, s.Cordoned)
	addDifferent(s.Uncordoned, next.Uncordoned)
	addDifferent(next.Uncordoned, s.Uncordoned)
	slices.Sort(ids)
	return slices.Compact(ids)
}
