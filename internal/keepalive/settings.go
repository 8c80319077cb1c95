package keepalive

import (
	"fmt"
	"time"
)

// Settings are the costs and the memory. Costs are in values of a request of priority weight 1.
type Settings struct {
	HandshakeCost    float64       // a new connection: work at the server, a place there, a socket here
	RetryCost        float64       // sending again what may be sent again: a draw on the retry budget, work done twice
	DelayCost        float64       // a delay of d costs DelayCost·d/LatencyObjective
	MinHalfLife      time.Duration // of evidence, at least
	MaxHalfLife      time.Duration // and at most
	HalfLifeAttempts float64       // a half-life between the two is as long as this many attempts take
	MaxLastByteDelay time.Duration // for which the last byte may be held back; 0 = never
	MaxServers       int           // of which evidence is kept apart; each takes 1.2 KB
}

// Default returns the settings for requests of some 100 ms at servers that can hold a few hundred connections.
func Default() Settings {
	return Settings{
		HandshakeCost: 0.02, RetryCost: 0.1, DelayCost: 0.3, MinHalfLife: 10 * time.Second, MaxHalfLife: 10 * time.Minute,
		HalfLifeAttempts: 1000, MaxLastByteDelay: 8 * time.Millisecond, MaxServers: 2048,
	}
}

// Check names the setting that makes no sense.
func (s Settings) Check() error {
	for _, p := range []struct {
		key   string
		value float64
	}{{"handshake", s.HandshakeCost}, {"retry", s.RetryCost}, {"hurry", s.DelayCost}} {
		if !(p.value >= 0 && p.value <= 1) {
			return fmt.Errorf("reuse: %s: %g does not lie between 0 and 1", p.key, p.value)
		}
	}
	switch {
	case s.MinHalfLife <= 0:
		return fmt.Errorf("reuse: half_life: %s is not above 0", s.MinHalfLife)
	case s.MaxHalfLife < s.MinHalfLife:
		return fmt.Errorf("reuse: long_half_life: %s is below half_life, %s", s.MaxHalfLife, s.MinHalfLife)
	case !(s.HalfLifeAttempts >= 1 && s.HalfLifeAttempts <= 1e9):
		return fmt.Errorf("reuse: calls: %g does not lie between 1 and 1e9", s.HalfLifeAttempts)
	case s.MaxLastByteDelay < 0:
		return fmt.Errorf("reuse: most_pause: %s is below 0", s.MaxLastByteDelay)
	case s.MaxServers < 1 || s.MaxServers > 1<<16:
		return fmt.Errorf("reuse: providers: %d does not lie between 1 and 65536", s.MaxServers)
	}
	return nil
}
