package keepalive

import (
	"fmt"
	"time"
)

// Settings are the costs and the memory. Costs are in values of a request of priority weight 1.
type Settings struct {
	Handshake    float64       // a new connection: work at the server, a place there, a socket here
	Retry        float64       // sending again what may be sent again: a draw on the retry budget, work done twice
	Hurry        float64       // a delay of d costs Hurry·d/LatencyObjective
	HalfLife     time.Duration // of evidence, at least
	LongHalfLife time.Duration // and at most
	Calls        float64       // a half-life between the two is as long as this many attempts take
	MaxPause     time.Duration // for which the last byte may be held back; 0 = never
	MaxServers   int           // of which evidence is kept apart; each takes 1.2 KB
}

// Default returns the settings for requests of some 100 ms at servers that can hold a few hundred connections.
func Default() Settings {
	return Settings{
		Handshake: 0.02, Retry: 0.1, Hurry: 0.3, HalfLife: 10 * time.Second, LongHalfLife: 10 * time.Minute,
		Calls: 1000, MaxPause: 8 * time.Millisecond, MaxServers: 2048,
	}
}

// Check names the setting that makes no sense.
func (s Settings) Check() error {
	for _, p := range []struct {
		key   string
		value float64
	}{{"handshake", s.Handshake}, {"retry", s.Retry}, {"hurry", s.Hurry}} {
		if !(p.value >= 0 && p.value <= 1) {
			return fmt.Errorf("reuse: %s: %g does not lie between 0 and 1", p.key, p.value)
		}
	}
	switch {
	case s.HalfLife <= 0:
		return fmt.Errorf("reuse: half_life: %s is not above 0", s.HalfLife)
	case s.LongHalfLife < s.HalfLife:
		return fmt.Errorf("reuse: long_half_life: %s is below half_life, %s", s.LongHalfLife, s.HalfLife)
	case !(s.Calls >= 1 && s.Calls <= 1e9):
		return fmt.Errorf("reuse: calls: %g does not lie between 1 and 1e9", s.Calls)
	case s.MaxPause < 0:
		return fmt.Errorf("reuse: most_pause: %s is below 0", s.MaxPause)
	case s.MaxServers < 1 || s.MaxServers > 1<<16:
		return fmt.Errorf("reuse: providers: %d does not lie between 1 and 65536", s.MaxServers)
	}
	return nil
}
