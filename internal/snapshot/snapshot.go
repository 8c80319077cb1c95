// Package snapshot gives what a sidecar has learned a form, an encoding and a place in a file, and says what of it
// still holds at a later start. Still, Merge, Match and Begin are decisions: they read no clock and touch no file.
package snapshot

import (
	"encoding/hex"
	"hash/fnv"
	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
	"slices"
	"strconv"
	"time"
)

// Snapshot is all that outlives a process. It holds no present load: what a provider had in flight is old news long
// before the next process asks.
type Snapshot struct {
	TakenAt    time.Time `cbor:"-"`          // wall clock, to the millisecond; kept in the header
	Program    string    `cbor:"1,keyasint"` // name of the sidecar
	Deployment string    `cbor:"2,keyasint"` // Fingerprint of the settings
	Directory  string    `cbor:"3,keyasint"` // where the list comes from
	Revision   uint64    `cbor:"4,keyasint"` // of the list there; 0 = not the whole list as it was told
	Members    []Member  `cbor:"5,keyasint,omitempty"`
	Learned    Learned   `cbor:"6,keyasint"`
	Reuse      []byte    `cbor:"7,keyasint,omitempty"` // of how connections break; its owner gives it a version
}

// Member is a provider as the directory told it. One that was deleted lately is kept with that phase: an older list
// must not bring it back.
type Member struct {
	ID       string  `cbor:"1,keyasint"`
	Address  string  `cbor:"2,keyasint"`
	Locality string  `cbor:"3,keyasint,omitempty"`
	Cell     int     `cbor:"4,keyasint,omitempty"`
	Phase    string  `cbor:"5,keyasint"`           // as in package config; any other word counts as draining
	UpSince  float64 `cbor:"6,keyasint,omitempty"` // Unix ms, by the directory; 0 = long ago
	ToldAt   float64 `cbor:"7,keyasint,omitempty"` // Unix ms at which the present phase was told; 0 = not known
	Age      float64 `cbor:"8,keyasint,omitempty"` // ms of real time since UpSince, at TakenAt, then at the next process's start; 0 = not known
}

// leaving is 0 for a provider that takes new work, 1 for one that drains and 2 for one that is gone.
func (m Member) leaving() int {
	switch m.Phase {
	case endpoints.Serving:
		return 0
	case endpoints.Deleted:
		return 2
	}
	return 1
}

// Learned is what the decision module knows of the fleet. Times are Unix milliseconds of the module's clock, which may
// have come to differ from the wall clock: Now ties the two. A time of 0 means never.
type Learned struct {
	Now          float64         `cbor:"1,keyasint"` // the module's clock at TakenAt; 0 = it is the wall clock
	Servers      []LearnedServer `cbor:"2,keyasint,omitempty"`
	Fit          Fit             `cbor:"3,keyasint"`
	FleetLatency float64         `cbor:"4,keyasint,omitempty"` // ms, the median service time
	MedianMiss   float64         `cbor:"5,keyasint,omitempty"` // probability of failure at the median provider
	FracOwn      float64         `cbor:"6,keyasint,omitempty"` // own requests, and all, that probed providers held
	FracAll      float64         `cbor:"7,keyasint,omitempty"`
	Tenants      []Bucket        `cbor:"8,keyasint,omitempty"` // by position in the settings
	Arrivals     Rate            `cbor:"9,keyasint"`
	Sends        Rate            `cbor:"10,keyasint"`
}

// LearnedServer is what is known of one provider's process.
type LearnedServer struct {
	Name      string  `cbor:"1,keyasint"`           // Member.ID
	StartedAt float64 `cbor:"2,keyasint,omitempty"` // Member.UpSince of the process that this was learned of
	Latency   float64 `cbor:"3,keyasint,omitempty"` // service time in ms; 0 = not known
	Reported  bool    `cbor:"4,keyasint,omitempty"` // Latency is the provider's own figure
	ReportAt  float64 `cbor:"5,keyasint,omitempty"` // age of Latency and Failing; never to be taken for that of a load
	Network   float64 `cbor:"6,keyasint,omitempty"` // lowest round trip in ms
	Failing   float64 `cbor:"7,keyasint,omitempty"` // part of its answers that it reported as errors at ReportAt
	By        Tallies `cbor:"8,keyasint,omitempty"` // only those that hold anything
	Cold      Rate    `cbor:"9,keyasint,omitempty"` // what was left of its allowance as a cold server
}

// The types below are arrays of a fixed length on the wire: new figures get a field of their own beside them.

// Tally is evidence for and against a provider, as it was at At.
type Tally struct {
	_           struct{} `cbor:",toarray"`
	Who         uint32   // 0 = of all requests, else of those of the tenant at position Who-1
	Oks, Misses float64
	At          float64
}

// Tallies are in the order of Who.
type Tallies []Tally

// MaxFitAge is the fit of the response time to the load, as it was at At.
type Fit struct {
	XX      float64    `cbor:"1,keyasint,omitempty"`
	XY      float64    `cbor:"2,keyasint,omitempty"`
	At      float64    `cbor:"3,keyasint,omitempty"`
	Classes []ClassFit `cbor:"4,keyasint,omitempty"` // by position in the settings
}

// ClassFit is the mean of one class's samples.
type ClassFit struct {
	_      struct{} `cbor:",toarray"`
	N, Sum float64
}

// Bucket is what a tenant had left of its share at At.
type Bucket struct {
	_          struct{} `cbor:",toarray"`
	Tokens, At float64
}

// Rate is a fading count of events, as it was at At.
type Rate struct {
	_     struct{} `cbor:",toarray"`
	V, At float64
}

// Fingerprint stands for the settings that give positions their meaning: the names of the classes, tenants and zones,
// in their order.
func Fingerprint(s *config.Settings) string {
	h := fnv.New128a()
	put := func(name string) { h.Write([]byte(strconv.Itoa(len(name)) + ":" + name)) }
	for _, c := range s.Classes {
		put(c.Name)
	}
	h.Write([]byte{'/'})
	for _, r := range s.Realms {
		put(r.Name)
	}
	h.Write([]byte{'/'})
	for _, z := range s.Dcs {
		put(z)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// MaxListAge is a directory's list of providers.
type List struct {
	Directory string
	Revision  uint64 // 0 = not as that directory told it: ask it for the whole list
	Members   []Member
}

// MaxListAge returns the snapshot's list.
func (s *Snapshot) List() List { return List{s.Directory, s.Revision, s.Members} }

// FromConfig is the list that the configuration knows of, whose phases count as told at that moment.
func FromConfig(l endpoints.List, directory string, told time.Time) List {
	out := List{Directory: directory, Revision: l.Revision}
	for _, m := range l.Endpoints {
		out.Members = append(out.Members, Member{
			ID: m.ID, Address: m.Address, Locality: m.Zone, Cell: m.Cell, Phase: m.Phase,
			UpSince: m.StartedAt, ToldAt: unixMs(told),
		})
	}
	return out
}

// Config is the list in the form in which the rest of the program takes it, whole.
func (l List) Config() endpoints.List {
	out := endpoints.List{Revision: l.Revision, Complete: true, Endpoints: make([]endpoints.Endpoint, 0, len(l.Members))}
	for _, m := range l.Members {
		out.Endpoints = append(out.Endpoints, endpoints.Endpoint{
			ID: m.ID, Address: m.Address, Zone: m.Locality,
			Cell: m.Cell, Phase: m.Phase, StartedAt: m.UpSince,
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
