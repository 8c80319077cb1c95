// Package snapshot defines the state that a sidecar saves across restarts, encodes it, stores it in a file, and determines
// which parts are still valid at a later start. DropStale, Merge, Match and Restore read no clock and access no file.
package snapshot

import (
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
)

// Snapshot is the state saved for the next process. It contains no load of servers: the number of requests in flight is
// outdated by the time a snapshot is restored.
type Snapshot struct {
	TakenAt    time.Time `cbor:"-"`          // wall clock time with a resolution of 1 ms; stored in the header
	Program    string    `cbor:"1,keyasint"` // name of the sidecar
	Deployment string    `cbor:"2,keyasint"` // Fingerprint of the settings
	Discovery  string    `cbor:"3,keyasint"` // address of the discovery service that sent the list
	Revision   uint64    `cbor:"4,keyasint"` // revision of the list; 0 = Members differ from the list that discovery sent
	Members    []Member  `cbor:"5,keyasint,omitempty"`
	Learned    Learned   `cbor:"6,keyasint"`
	Keepalive  []byte    `cbor:"7,keyasint,omitempty"` // evidence of how connections break, encoded by package keepalive
}

// Member is a server as listed by discovery. A recently deleted one is kept, with the phase endpoints.Deleted, so that an
// older list doesn't restore it.
type Member struct {
	ID         string  `cbor:"1,keyasint"`
	Address    string  `cbor:"2,keyasint"`
	Zone       string  `cbor:"3,keyasint,omitempty"`
	Cell       int     `cbor:"4,keyasint,omitempty"`
	Phase      string  `cbor:"5,keyasint"`           // a phase of package endpoints; any other value counts as draining
	StartedAt  float64 `cbor:"6,keyasint,omitempty"` // process start time in Unix ms, from discovery; 0 = long ago
	PhaseSince float64 `cbor:"7,keyasint,omitempty"` // Unix ms at which the current phase was first listed; 0 = unknown
	Age        float64 `cbor:"8,keyasint,omitempty"` // ms of real time since StartedAt, as of TakenAt; 0 = unknown
}

// availability says whether a server takes new work. In Merge a higher value takes precedence.
type availability int

const (
	available availability = iota // takes new work
	draining                      // finishes its requests in flight
	deleted                       // no longer exists
)

// availability returns the availability of a server in the phase of m.
func (m Member) availability() availability {
	switch m.Phase {
	case endpoints.Serving:
		return available
	case endpoints.Deleted:
		return deleted
	}
	return draining
}

// Learned is the state that the policy has learned about the fleet. Times are Unix milliseconds of the policy's clock, which
// may differ from the wall clock: Now relates the two. A time of 0 means never.
type Learned struct {
	Now             float64         `cbor:"1,keyasint"` // the policy's clock at TakenAt; 0 = the policy uses the wall clock
	Servers         []LearnedServer `cbor:"2,keyasint,omitempty"`
	Fit             Fit             `cbor:"3,keyasint"`
	FleetLatency    float64         `cbor:"4,keyasint,omitempty"` // median service time in ms
	MedianErrorRate float64         `cbor:"5,keyasint,omitempty"` // error rate of the median server
	OwnInFlight     float64         `cbor:"6,keyasint,omitempty"` // requests of this instance in flight at probed servers
	TotalInFlight   float64         `cbor:"7,keyasint,omitempty"` // all requests in flight at probed servers
	Tenants         []Bucket        `cbor:"8,keyasint,omitempty"` // quotas of tenants, by position in the settings
	Arrivals        Rate            `cbor:"9,keyasint"`
	Sends           Rate            `cbor:"10,keyasint"`
}

// LearnedServer is what has been learned about one process of a server.
type LearnedServer struct {
	Name            string  `cbor:"1,keyasint"`           // Member.ID
	StartedAt       float64 `cbor:"2,keyasint,omitempty"` // Member.StartedAt of that process
	Latency         float64 `cbor:"3,keyasint,omitempty"` // service time in ms; 0 = unknown
	LatencyReported bool    `cbor:"4,keyasint,omitempty"` // Latency is from a load report of the server
	ReportedAt      float64 `cbor:"5,keyasint,omitempty"` // time of Latency and ErrorRate; not the time of a reported load
	RoundTrip       float64 `cbor:"6,keyasint,omitempty"` // lowest round trip in ms
	ErrorRate       float64 `cbor:"7,keyasint,omitempty"` // share of responses that the server reported as errors at ReportedAt
	Outcomes        Tallies `cbor:"8,keyasint,omitempty"` // only tenants with outcomes
	SlowStartBudget Rate    `cbor:"9,keyasint,omitempty"` // remaining slow-start budget
}

// Types with toarray are encoded as arrays of fixed length: new values need a field of their own in the enclosing type.

// Tally holds the exponentially decayed counts of outcomes at a server, as of At.
type Tally struct {
	_                   struct{} `cbor:",toarray"`
	Tenant              uint32   // 0 = all requests, else those of the tenant at position Tenant-1 of the settings
	Successes, Failures float64
	At                  float64
}

// Tallies is a list of tallies in ascending order of Tenant.
type Tallies []Tally

// Fit is the regression of latency on load, as of FittedAt.
type Fit struct {
	SumLoadSquared float64    `cbor:"1,keyasint,omitempty"`
	SumLoadLatency float64    `cbor:"2,keyasint,omitempty"`
	FittedAt       float64    `cbor:"3,keyasint,omitempty"`
	Classes        []ClassFit `cbor:"4,keyasint,omitempty"` // by position in the settings
}

// ClassFit holds the count and sum of the samples of one class.
type ClassFit struct {
	_          struct{} `cbor:",toarray"`
	Count, Sum float64
}

// Bucket is the token bucket of a tenant's quota, as of At.
type Bucket struct {
	_          struct{} `cbor:",toarray"`
	Tokens, At float64
}

// Rate is an exponentially decayed count of events, as of At.
type Rate struct {
	_         struct{} `cbor:",toarray"`
	Value, At float64
}

// Fingerprint returns a hash of the settings to which positions in a snapshot refer: the ordered names of the classes,
// tenants and zones.
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
