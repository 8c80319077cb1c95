// Package cordon holds the servers that operators have taken out of service, and stores them in a file that all processes of a
// sidecar share. A Set reads no clock and accesses no file.
package cordon

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// ErrUnknownServer is returned for a server that is neither listed nor cordoned.
var ErrUnknownServer = errors.New("server is not listed")

// maxUncordoned bounds the number of entries in Set.Uncordoned; the earliest are dropped.
const maxUncordoned = 2048

// Set holds the cordons in force. Dates are in Unix milliseconds. The zero value cordons no server.
type Set struct {
	Cordoned map[string]float64 `json:"out"` // start of each cordon by server id; in force whatever the list says
	// Uncordoned holds the end of each earlier cordon by server id. The server may have restarted meanwhile, so that it
	// counts as started then.
	Uncordoned map[string]float64 `json:"back"`
}

// Clone returns a deep copy.
func (s Set) Clone() Set { return Set{maps.Clone(s.Cordoned), maps.Clone(s.Uncordoned)} }

// Cordon takes the server out of service from date on. If it is already cordoned, its earlier date stays.
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

// Uncordon returns the server to service from date on. A server that is listed and not cordoned stays as it is.
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

// ChangedIDs returns the sorted ids of the servers whose entries in next differ from those in s.
func (s Set) ChangedIDs(next Set) (ids []string) {
	addChanged := func(before, after map[string]float64) {
		for id, date := range before {
			if after[id] != date {
				ids = append(ids, id)
			}
		}
	}
	addChanged(s.Cordoned, next.Cordoned)
	addChanged(next.Cordoned, s.Cordoned)
	addChanged(s.Uncordoned, next.Uncordoned)
	addChanged(next.Uncordoned, s.Uncordoned)
	slices.Sort(ids)
	return slices.Compact(ids)
}
