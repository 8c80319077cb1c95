package policy

import (
	"testing"
)

func TestNewRejectsBadConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"no classes":                 func(c *Config) { c.Classes = nil },
		"negative latency objective": func(c *Config) { c.Classes[0].LatencyObjective = -1 },
		"unknown idempotency":        func(c *Config) { c.Classes[0].Idempotency = 9 },
		"unknown key scope":          func(c *Config) { c.Classes[1].KeyScope = 9 },
		"negative warm-up time":      func(c *Config) { c.WarmUpTime = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
