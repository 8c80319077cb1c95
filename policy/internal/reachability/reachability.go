// Package reachability keeps whether a server answers probes and connects, and when it may be probed again. It reads no clock:
// times are in milliseconds from any fixed origin.
package reachability

import (
	"math/rand/v2"

	"plankrouter/internal/backoff"
)

// ProbeBackoff is when a server whose probe or connection failed is probed again, in ms: so a server that is down costs next
// to nothing, and one that is back is found within the bound.
var ProbeBackoff = backoff.Policy{First: 50, Max: 1000, Factor: 2, Jitter: 0.5}

// State is what is known of one server. The zero value is a server that has not failed.
type State struct {
	Unreachable         bool // a probe or a connection has failed since the last answer
	ConsecutiveFailures int  // of probes and connections, until a probe is answered
	NextProbeAt         float64
}

// Failed notes that a probe or a connection has failed. Those that were under way together count as one.
func (s *State) Failed(now float64, rng *rand.Rand) {
	s.Unreachable = true
	if now >= s.NextProbeAt {
		s.ConsecutiveFailures++
		s.NextProbeAt = now + ProbeBackoff.Wait(s.ConsecutiveFailures, rng.Float64())
	}
}

// NotProbed notes that a probe was not sent, which says nothing of the server but would happen again at once.
func (s *State) NotProbed(now float64) { s.NextProbeAt = now + ProbeBackoff.First }

// ProbeAnswered notes that a probe was answered.
func (s *State) ProbeAnswered(now float64) { *s = State{NextProbeAt: now} }

// RequestAnswered notes that a request was answered. How probes fare is not changed by it.
func (s *State) RequestAnswered() { s.Unreachable = false }

// MayProbe reports whether the server may be probed now.
func (s *State) MayProbe(now float64) bool { return now >= s.NextProbeAt }

// HasFailed reports whether no probe has been answered since one or a connection failed.
func (s *State) HasFailed() bool { return s.ConsecutiveFailures > 0 }
