package keepalive

import (
	"fmt"
	"time"
)

// Settings holds the costs, and how long evidence counts. Costs are in units of the value of a request of priority weight 1.
type Settings struct {
	HandshakeCost    float64       // cost of a new connection: work and a connection slot at the server, a socket here
	RetryCost        float64       // cost of retrying an idempotent request: a token of the retry budget, work done twice
	DelayCost        float64       // a delay of d costs DelayCost·d/LatencyObjective, at most 1
	MinHalfLife      time.Duration // lower bound of the half-life of evidence
	MaxHalfLife      time.Duration // upper bound of the half-life of evidence
	HalfLifeAttempts float64       // half-life of evidence in attempts, bounded by MinHalfLife and MaxHalfLife
	MaxLastByteDelay time.Duration // upper bound of the time for which the last byte is held back; 0 = never held back
	MaxServers       int           // maximum number of servers with evidence of their own, which takes 1.2 KB each
}

// Default returns the settings for requests of about 100 ms at servers that can hold a few hundred connections.
func Default() Settings {
	return Settings{
		HandshakeCost: 0.02, RetryCost: 0.1, DelayCost: 0.3, MinHalfLife: 10 * time.Second, MaxHalfLife: 10 * time.Minute,
		HalfLifeAttempts: 1000, MaxLastByteDelay: 8 * time.Millisecond, MaxServers: 2048,
	}
}

// Check returns an error that names the first setting out of range.
func (s Settings) Check() error {
	for _, p := range []struct {
		key   string
		value float64
	}{{"handshake", s.HandshakeCost}, {"retry", s.RetryCost}, {"hurry", s.DelayCost}} {
		if !(p.value >= 0 && p.value <= 1) {
			return fmt.Errorf("reuse: %s: %g is not between 0 and 1", p.key, p.value)
		}
	}
	switch {
	case s.MinHalfLife <= 0:
		return fmt.Errorf("reuse: half_life: %s is not above 0", s.MinHalfLife)
	case s.MaxHalfLife < s.MinHalfLife:
		return fmt.Errorf("reuse: long_half_life: %s is below half_life, %s", s.MaxHalfLife, s.MinHalfLife)
	case !(s.HalfLifeAttempts >= 1 && s.HalfLifeAttempts <= 1e9):
		return fmt.Errorf("reuse: calls: %g is not between 1 and 1e9", s.HalfLifeAttempts)
	case s.MaxLastByteDelay < 0:
		return fmt.Errorf("reuse: most_pause: %s is below 0", s.MaxLastByteDelay)
	case s.MaxServers < 1 || s.MaxServers > 1<<16:
		return fmt.Errorf("reuse: providers: %d is not between 1 and 65536", s.MaxServers)
	}
	return nil
}
