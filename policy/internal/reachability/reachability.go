// Package reachability tracks whether a server responds to probes and accepts connections, and when it may be probed again. It
// reads no clock: times are in milliseconds from any fixed origin.
package reachability

import (
	"math/rand/v2"

	"plankrouter/internal/backoff"
)

// ProbeBackoff is the delay in ms before a server whose probe or connection failed is probed again. A server that is down gets
// few probes, and one that is back is found within Max.
var ProbeBackoff = backoff.Policy{First: 50, Max: 1000, Factor: 2, Jitter: 0.5}

// State is the reachability of one server. The zero value is a server that has not failed.
type State struct {
	Unreachable         bool // a probe or a connection has failed since the last response
	ConsecutiveFailures int  // failed probes and connections since the last response to a probe
	NextProbeAt         float64
}

// Failed records that a probe or a connection has failed. Failures before the next probe is due are not counted, so that those
// of probes and connections in flight at the same time count as one.
func (s *State) Failed(now float64, rng *rand.Rand) {
	s.Unreachable = true
	if now >= s.NextProbeAt {
		s.ConsecutiveFailures++
		s.NextProbeAt = now + ProbeBackoff.Wait(s.ConsecutiveFailures, rng.Float64())
	}
}

// ProbeNotSent records that a probe could not be sent. That says nothing about the server, but delays the next probe, which
// would fail in the same way now.
func (s *State) ProbeNotSent(now float64) { s.NextProbeAt = now + ProbeBackoff.First }

// ProbeSucceeded records a response to a probe.
func (s *State) ProbeSucceeded(now float64) { *s = State{NextProbeAt: now} }

// RequestSucceeded records a successful response to a request. It does not end the backoff of probes.
func (s *State) RequestSucceeded() { s.Unreachable = false }

// MayProbe reports whether the server may be probed now.
func (s *State) MayProbe(now float64) bool { return now >= s.NextProbeAt }

// HasFailed reports whether a probe or a connection has failed since the last response to a probe.
func (s *State) HasFailed() bool { return s.ConsecutiveFailures > 0 }
