// Package cordon holds operators' word on which providers get nothing, and keeps it in a file that all processes of a sidecar
// share. A Set reads no clock and touches no file.
package cordon

import (
	"errors"
	"maps"
	"slices"
)

// ErrUnknownServer says that a provider is neither listed nor out.
var ErrUnknownServer = errors.New("no such tile server is listed")

// mostBack bounds the providers whose return is kept in mind; the earliest are forgotten.
const mostBack = 2048

// Set is that word. Times are Unix milliseconds. The zero value bans nobody.
type Set struct {
	Cordoned   map[string]float64 `json:"out"`  // since when, by id; in force whatever the list says
	Uncordoned map[string]float64 `json:"back"` // since when it may be used again: it may have been restarted meanwhile
}

// Clone returns a copy that shares nothing.
func (s Set) Clone() Set { return Set{maps.Clone(s.Cordoned), maps.Clone(s.Uncordoned)} }

// Cordon takes the provider out from at on. One that is out stays so since it was.
func (s *Set) Cordon(id string, at float64, listed bool) error {
	if _, out := s.Cordoned[id]; out {
		return nil
	}
	if !listed {
		return ErrUnknownServer
	}
	if s.Cordoned == nil {
		s.Cordoned = map[string]float64{}
	}
	s.Cordoned[id] = at
	delete(s.Uncordoned, id)
	return nil
}

// Uncordon puts the provider back. One that is listed and not out stays as it is.
func (s *Set) Uncordon(id string, at float64, listed bool) error {
	if _, out := s.Cordoned[id]; !out {
		if !listed {
			return ErrUnknownServer
		}
		return nil
	}
	delete(s.Cordoned, id)
	if s.Uncordoned == nil {
		s.Uncordoned = map[string]float64{}
	}
	s.Uncordoned[id] = at
	if len(s.Uncordoned) > mostBack {
		ids := slices.SortedFunc(maps.Keys(s.Uncordoned), func(a, b string) int {
			if s.Uncordoned[a] < s.Uncordoned[b] {
				return -1
			}
			return 1
		})
		delete(s.Uncordoned, ids[0])
	}
	return nil
}

// ChangedIDs returns the ids of which next says something else.
func (s Set) ChangedIDs(next Set) (ids []string) {
	differ := func(was, is map[string]float64) {
		for id, at := range was {
			if is[id] != at {
				ids = append(ids, id)
			}
		}
	}
	differ(s.Cordoned, next.Cordoned)
	differ(next.Cordoned, s.Cordoned)
	differ(s.Uncordoned, next.Uncordoned)
	differ(next.Uncordoned, s.Uncordoned)
	slices.Sort(ids)
	return slices.Compact(ids)
}
