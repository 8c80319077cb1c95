// Package snapshot gives what a sidecar has learned a form, an encoding and a place in a file, and says what of it
// is still valid at a later start. DropStale, Merge, Match and Restore are decisions: they read no clock and touch no file.
package snapshot

import (
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
)

// Snapshot is all that outlives a process. It holds no present load: what a server had in flight is outdated long
// before the next process asks.
type Snapshot struct {
	TakenAt    time.Time `cbor:"-"`          // wall clock, to the millisecond; kept in the header
	Program    string    `cbor:"1,keyasint"` // name of the sidecar
	Deployment string    `cbor:"2,keyasint"` // Fingerprint of the settings
	Discovery  string    `cbor:"3,keyasint"` // where the list comes from
	Revision   uint64    `cbor:"4,keyasint"` // of the list there; 0 = not the whole list as it was sent
	Members    []Member  `cbor:"5,keyasint,omitempty"`
	Learned    Learned   `cbor:"6,keyasint"`
	Keepalive  []byte    `cbor:"7,keyasint,omitempty"` // of how connections break, in an encoding of package keepalive's
}

// Member is a server as discovery listed it. One that was deleted lately is kept with that phase: an older list
// must not bring it back.
type Member struct {
	ID         string  `cbor:"1,keyasint"`
	Address    string  `cbor:"2,keyasint"`
	Zone       string  `cbor:"3,keyasint,omitempty"`
	Cell       int     `cbor:"4,keyasint,omitempty"`
	Phase      string  `cbor:"5,keyasint"`           // as in package endpoints; any other one counts as draining
	StartedAt  float64 `cbor:"6,keyasint,omitempty"` // Unix ms, by discovery; 0 = long ago
	PhaseSince float64 `cbor:"7,keyasint,omitempty"` // Unix ms at which the present phase was first listed; 0 = not known
	Age        float64 `cbor:"8,keyasint,omitempty"` // ms of real time since StartedAt, at TakenAt, then at the next process's start; 0 = not known
}

// availability says whether a server takes new work. A later value outlasts an earlier one.
type availability int

const (
	available availability = iota // takes new work
	draining                      // finishes what it has
	deleted                       // is gone
)

// availability is what follows from the member's phase.
func (m Member) availability() availability {
	switch m.Phase {
	case endpoints.Serving:
		return available
	case endpoints.Deleted:
		return deleted
	}
	return draining
}

// Learned is what the policy knows of the fleet. Times are Unix milliseconds of the policy's clock, which may
// have come to differ from the wall clock: Now ties the two. A time of 0 means never.
type Learned struct {
	Now             float64         `cbor:"1,keyasint"` // the policy's clock at TakenAt; 0 = it is the wall clock
	Servers         []LearnedServer `cbor:"2,keyasint,omitempty"`
	Fit             Fit             `cbor:"3,keyasint"`
	FleetLatency    float64         `cbor:"4,keyasint,omitempty"` // ms, the median service time
	MedianErrorRate float64         `cbor:"5,keyasint,omitempty"` // probability of failure at the median server
	OwnInFlight     float64         `cbor:"6,keyasint,omitempty"` // own requests, and all, in flight at probed servers
	TotalInFlight   float64         `cbor:"7,keyasint,omitempty"`
	Tenants         []Bucket        `cbor:"8,keyasint,omitempty"` // by position in the settings
	Arrivals        Rate            `cbor:"9,keyasint"`
	Sends           Rate            `cbor:"10,keyasint"`
}

// LearnedServer is what is known of one server's process.
type LearnedServer struct {
	Name            string  `cbor:"1,keyasint"`           // Member.ID
	StartedAt       float64 `cbor:"2,keyasint,omitempty"` // Member.StartedAt of the process that this was learned of
	Latency         float64 `cbor:"3,keyasint,omitempty"` // service time in ms; 0 = not known
	LatencyReported bool    `cbor:"4,keyasint,omitempty"` // Latency is what the server reports itself
	ReportedAt      float64 `cbor:"5,keyasint,omitempty"` // of Latency and ErrorRate; never to be taken for that of a load
	RoundTrip       float64 `cbor:"6,keyasint,omitempty"` // lowest round trip in ms
	ErrorRate       float64 `cbor:"7,keyasint,omitempty"` // part of its answers that it reported as errors at ReportedAt
	Outcomes        Tallies `cbor:"8,keyasint,omitempty"` // only those that count anything
	SlowStartBudget Rate    `cbor:"9,keyasint,omitempty"` // what was left of its slow-start budget
}

// The types below are arrays of a fixed length in the file: new values get a field of their own beside them.

// Tally counts outcomes at a server with their fading weight, as it was at At.
type Tally struct {
	_                   struct{} `cbor:",toarray"`
	Tenant              uint32   // 0 = of all requests, else of those of the tenant at position Tenant-1
	Successes, Failures float64
	At                  float64
}

// Tallies are in the order of Tenant.
type Tallies []Tally

// Fit is the fit of the latency to the load, as it was at At.
type Fit struct {
	SumLoadSquared float64    `cbor:"1,keyasint,omitempty"`
	SumLoadLatency float64    `cbor:"2,keyasint,omitempty"`
	FittedAt       float64    `cbor:"3,keyasint,omitempty"`
	Classes        []ClassFit `cbor:"4,keyasint,omitempty"` // by position in the settings
}

// ClassFit is the mean of one class's samples.
type ClassFit struct {
	_          struct{} `cbor:",toarray"`
	Count, Sum float64
}

// Bucket is what a tenant had left of its quota at At.
type Bucket struct {
	_          struct{} `cbor:",toarray"`
	Tokens, At float64
}

// Rate is a fading count of events, as it was at At.
type Rate struct {
	_         struct{} `cbor:",toarray"`
	Value, At float64
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
