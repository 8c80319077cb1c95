package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"plankrouter/policy"
)

// Defaults for keys that the platform may leave out.
const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024 // open at a time
	defaultConnIdle       = 60 * time.Second
	defaultConnectTimeout = 150 * time.Millisecond
	defaultDrainGrace     = 750 * time.Millisecond
)

const (
	maxSettingMs = 9e12 // just below the longest time.Duration, in milliseconds
	minSockets   = 32   // with fewer sockets the sidecar can't serve usefully
)

// check fills in defaults and returns an error for values that the program can't work with.
func (c *Config) check() error {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if err := c.checkSeed(); err != nil {
		return err
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if err := c.checkSettings(); err != nil {
		return err
	}
	longestDeadline, err := c.checkClasses()
	if err != nil {
		return err
	}
	if err := c.checkExtensions(longestDeadline); err != nil {
		return err
	}
	if faults := c.Known.RemoveInvalid(); len(faults) > 0 {
		return fmt.Errorf("known.%w", faults[0])
	}
	c.Known.Normalize() // contradictory entries from discovery must not prevent the start
	if c.Policy, err = c.Settings.PolicyConfig(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if _, err := policy.New(c.Policy, c.Seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// checkAddresses checks the addresses, of which only admin_addr may be missing.
func (c *Config) checkAddresses() error {
	for _, a := range []struct {
		key      string
		address  string
		optional bool
	}{
		{key: "listen", address: c.Listen},
		{key: "discovery", address: c.Discovery},
		{key: "admin_addr", address: c.AdminAddr, optional: true},
	} {
		if a.address == "" && a.optional {
			continue
		}
		if _, port, err := net.SplitHostPort(a.address); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not host:port", a.key, a.address)
		}
	}
	return nil
}

// checkSeed parses the seed; without one it stays 0.
func (c *Config) checkSeed() error {
	if c.SeedText == "" {
		return nil
	}
	var err error
	if c.Seed, err = strconv.ParseUint(c.SeedText, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", c.SeedText)
	}
	return nil
}

// checkLimits fills in defaults for the limits of the process and checks them.
func (c *Config) checkLimits() error {
	c.Limits.MemoryMB = cmp.Or(c.Limits.MemoryMB, defaultMemoryMB)
	c.Limits.Sockets = cmp.Or(c.Limits.Sockets, defaultSockets)
	if c.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %d is negative", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, minSockets)
	}
	return nil
}

// checkSettings reads the settings that are not part of the policy's configuration.
func (c *Config) checkSettings() error {
	s := &c.Settings
	if err := readDurations("settings.", 1, maxSettingMs,
		durationKey{"Limits.ConnIdleMs", s.Limits.ConnIdleMs, &c.ConnIdle, defaultConnIdle},
		durationKey{"Limits.ConnectTimeoutMs", s.Limits.ConnectTimeoutMs, &c.ConnectTimeout, defaultConnectTimeout},
		durationKey{"Safety.DrainGraceMs", s.Safety.DrainGraceMs, &c.DrainGrace, defaultDrainGrace},
		durationKey{"Safety.AskEveryMs", s.Safety.AskEveryMs, &c.PollInterval, 0},
	); err != nil {
		return err
	}
	if s.Limits.MaxAttempts < 0 {
		return fmt.Errorf("settings.Limits.MaxAttempts: %d is not a positive number", s.Limits.MaxAttempts)
	}
	return nil
}

// checkClasses checks the classes of requests, and returns their longest deadline.
func (c *Config) checkClasses() (longestDeadline time.Duration, err error) {
	if len(c.Settings.Classes) == 0 {
		return 0, errors.New("settings.RequestClasses: missing or empty")
	}
	seen := map[string]bool{}
	for i, class := range c.Settings.Classes {
		if class.Name == "" || seen[class.Name] {
			return 0, fmt.Errorf("settings.RequestClasses[%d].Name: %q is empty or given twice", i, class.Name)
		}
		seen[class.Name] = true
		for _, f := range []struct {
			key    string
			millis float64
		}{{"AimMs", class.AimMs}, {"HardLimitMs", class.HardLimitMs}} {
			if !(f.millis > 0) {
				return 0, fmt.Errorf("settings.RequestClasses[%d].%s: %g is not a positive number", i, f.key, f.millis)
			}
		}
		longestDeadline = max(longestDeadline, Duration(class.HardLimitMs))
	}
	return longestDeadline, nil
}
