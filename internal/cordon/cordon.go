// Package cordon holds operators' word on which providers get nothing, and keeps it in a file that all processes of a sidecar
// share. A Set reads no clock and touches no file.
package cordon

import (
	"errors"
	"maps"
	"slices"
)

// ErrUnknown says that a provider is neither listed nor out.
var ErrUnknown = errors.New("no such tile server is listed")

// mostBack bounds the providers whose return is kept in mind; the earliest are forgotten.
const mostBack = 2048

// Set is that word. Times are Unix milliseconds. The zero value bans nobody.
type Set struct {
	Out  map[string]float64 `json:"out"`  // since when, by id; in force whatever the list says
	Back map[string]float64 `json:"back"` // since when it may be used again: it may have been restarted meanwhile
}

// Clone returns a copy that shares nothing.
func (s Set) Clone() Set { return Set{maps.Clone(s.Out), maps.Clone(s.Back)} }

// Disable takes the provider out from at on. One that is out stays so since it was.
func (s *Set) Disable(id string, at float64, listed bool) error {
	if _, out := s.Out[id]; out {
		return nil
	}
	if !listed {
		return ErrUnknown
	}
	if s.Out == nil {
		s.Out = map[string]float64{}
	}
	s.Out[id] = at
	delete(s.Back, id)
	return nil
}

// Enable puts the provider back. One that is listed and not out stays as it is.
func (s *Set) Enable(id string, at float64, listed bool) error {
	if _, out := s.Out[id]; !out {
		if !listed {
			return ErrUnknown
		}
		return nil
	}
	delete(s.Out, id)
	if s.Back == nil {
		s.Back = map[string]float64{}
	}
	s.Back[id] = at
	if len(s.Back) > mostBack {
		ids := slices.SortedFunc(maps.Keys(s.Back), func(a, b string) int {
			if s.Back[a] < s.Back[b] {
				return -1
			}
			return 1
		})
		delete(s.Back, ids[0])
	}
	return nil
}

// Changed returns the ids of which next says something else.
func (s Set) Changed(next Set) (ids []string) {
	differ := func(was, is map[string]float64) {
		for id, at := range was {
			if is[id] != at {
				ids = append(ids, id)
			}
		}
	}
	differ(s.Out, next.Out)
	differ(next.Out, s.Out)
	differ(s.Back, next.Back)
	differ(next.Back, s.Back)
	slices.Sort(ids)
	return slices.Compact(ids)
}
