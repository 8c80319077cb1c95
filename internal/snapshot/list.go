package snapshot

import (
	"slices"
	"time"

	"plankrouter/internal/endpoints"
)

// List is discovery's list of servers.
type List struct {
	Discovery string // address of the discovery service that it is from
	Revision  uint64 // 0 = not as it was sent: ask for the whole list
	Members   []Member
}

// List returns the snapshot's list.
func (s *Snapshot) List() List { return List{s.Discovery, s.Revision, s.Members} }

// FromEndpoints is the list that the configuration knows of, whose phases count as listed at that moment.
func FromEndpoints(l endpoints.List, discovery string, listedAt time.Time) List {
	out := List{Discovery: discovery, Revision: l.Revision}
	for _, m := range l.Endpoints {
		out.Members = append(out.Members, Member{
			ID: m.ID, Address: m.Address, Zone: m.Zone, Cell: m.Cell, Phase: m.Phase,
			StartedAt: m.StartedAt, PhaseSince: unixMs(listedAt),
		})
	}
	return out
}

// ToEndpoints is the list in the form in which the rest of the program takes it, whole.
func (l List) ToEndpoints() endpoints.List {
	out := endpoints.List{Revision: l.Revision, Complete: true, Endpoints: make([]endpoints.Endpoint, 0, len(l.Members))}
	for _, m := range l.Members {
		out.Endpoints = append(out.Endpoints, endpoints.Endpoint{
			ID: m.ID, Address: m.Address, Zone: m.Zone,
			Cell: m.Cell, Phase: m.Phase, StartedAt: m.StartedAt,
		})
	}
	return out
}

func (l List) byID() map[string]Member {
	out := make(map[string]Member, len(l.Members))
	for _, m := range l.Members {
		out[m.ID] = m
	}
	return out
}

func (l List) clone() List {
	l.Members = slices.Clone(l.Members)
	return l
}

func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
