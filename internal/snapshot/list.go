package snapshot

import (
	"slices"
	"time"

	"plankrouter/internal/endpoints"
)

// List is the endpoint list of a discovery service.
type List struct {
	Discovery string // address of the discovery service
	Revision  uint64 // 0 = Members differ from the list that discovery sent, so that the complete list has to be requested
	Members   []Member
}

// List returns the endpoint list of the snapshot.
func (s *Snapshot) List() List { return List{s.Discovery, s.Revision, s.Members} }

// FromEndpoints converts an endpoint list of the given discovery service. All phases count as first listed at listedAt.
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

// ToEndpoints converts the list to a complete endpoints.List.
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
