// Package config is the one place where what the program is told is read, checked and given defaults.
// Messages name the key at fault.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"plankrouter/internal/freshness"
	"plankrouter/internal/members"
	"plankrouter/internal/stopping"
	"plankrouter/logic"
)

// Defaults for what the platform may leave out.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultIdle     = 60 * time.Second
	defaultConnect  = 150 * time.Millisecond
	defaultGrace    = 750 * time.Millisecond
	settingsMost    = 9e12 // ms; a Duration can't hold more than this
	leastSockets    = 32   // below this nothing useful can be served
)

// Config is all that a sidecar is told.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	AdminAddr string `json:"admin_addr"` // where operators call; "" = nowhere
	SeedText  string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    members.List `json:"known"`
	Settings Settings     `json:"settings"`
	Own      Own          `json:"plankrouter"`

	StopPlan       stopping.Plan      `json:"-"`
	SnapshotEvery  time.Duration      `json:"-"`
	ReadyWithin    time.Duration      `json:"-"`
	Watch          freshness.Settings `json:"-"`
	Seed           uint64             `json:"-"`
	Logic          logic.Config       `json:"-"`
	ConnIdle       time.Duration      `json:"-"` // a provider closes a connection left idle this long
	ConnectTimeout time.Duration      `json:"-"`
	DrainGrace     time.Duration      `json:"-"`
}

// Load reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR go before what it says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: missing")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c := new(Config)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	for key, field := range map[string]*string{"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery,
		"GW_ADMIN_ADDR": &c.AdminAddr} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
	return c, c.check()
}

// Reload reads the file anew. What it says of the directory goes before GW_DISCOVERY: the environment is that of the
// start, and the file is newer.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(key string) string {
		if key == "GW_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
}

// Fixed names the keys that differ in next but can't change while the program runs.
func (c *Config) Fixed(next *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"admin_addr", c.AdminAddr == next.AdminAddr},
		{"seed", c.Seed == next.Seed},
		{"limits", c.Limits == next.Limits},
		{"plankrouter", c.Own == next.Own},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// check fills in defaults and rejects what the program can't work with.
func (c *Config) check() error {
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"admin_addr", c.AdminAddr}} {
		if _, port, err := net.SplitHostPort(a.addr); (err != nil || port == "") && (a.addr != "" || a.key != "admin_addr") {
			return fmt.Errorf("%s: %q is not host:port", a.key, a.addr)
		}
	}
	var err error
	if c.SeedText != "" {
		if c.Seed, err = strconv.ParseUint(c.SeedText, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", c.SeedText)
		}
	}
	c.Limits.MemoryMB = cmp.Or(c.Limits.MemoryMB, defaultMemoryMB)
	c.Limits.Sockets = cmp.Or(c.Limits.Sockets, defaultSockets)
	if c.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %d is negative", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < leastSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, leastSockets)
	}
	s := &c.Settings
	if err := read("settings.", 1, settingsMost,
		figure{"Limits.ConnIdleMs", s.Limits.ConnIdleMs, &c.ConnIdle, defaultIdle},
		figure{"Limits.ConnectTimeoutMs", s.Limits.ConnectTimeoutMs, &c.ConnectTimeout, defaultConnect},
		figure{"Safety.DrainGraceMs", s.Safety.DrainGraceMs, &c.DrainGrace, defaultGrace},
	); err != nil {
		return err
	}
	seen, longest := map[string]bool{}, time.Duration(0)
	for i, k := range s.Classes {
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("settings.RequestClasses[%d].Name: %q is empty or given twice", i, k.Name)
		}
		seen[k.Name] = true
		longest = max(longest, Duration(k.HardLimitMs))
	}
	if err := c.checkOwn(longest); err != nil {
		return err
	}
	if faults := c.Known.Clean(); len(faults) > 0 {
		return fmt.Errorf("known.%w", faults[0])
	}
	if c.Logic, err = s.Logic(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if _, err := logic.New(c.Logic, c.Seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
