// Package config is the one place where what the program is told is read, checked and given defaults.
// Messages name the key at fault.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"plankrouter/internal/freshness"
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
	leastSockets    = 32 // below this nothing useful can be served

	defaultSnapshot      = 10 * time.Second
	defaultReady         = 10 * time.Second
	defaultWait          = time.Second
	defaultLeastWait     = 250 * time.Millisecond
	defaultPatience      = time.Second
	defaultLeastPatience = 250 * time.Millisecond
	defaultRetry         = 50 * time.Millisecond
	defaultRetryMost     = 2 * time.Second
	defaultAsk           = time.Second
	defaultAskMost       = 30 * time.Second
	mostMs               = 24 * 3600 * 1000
)

// Phases of a provider in the directory.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Member is one line of the directory's list.
type Member struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	UpSince  float64 `json:"up_since_ms"`
}

// List is what the directory has to say: the whole list, or what has changed.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Config is all that a sidecar is told.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	SeedText  string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    List     `json:"known"`
	Settings Settings `json:"settings"`
	WatchMs  WatchMs  `json:"watch"`
	Snapshot struct { // what was learned is kept in a file
		Path    string  `json:"path"` // "" = it is not
		EveryMs float64 `json:"every_ms"`
	} `json:"snapshot"`
	Handover struct { // to a successor, on SIGUSR2
		ReadyWithinMs float64 `json:"ready_within_ms"` // the successor has so long to become ready
	} `json:"handover"`
	Stop struct { // what follows the word to stop
		KillAfterMs float64 `json:"kill_after_ms"` // the process may be killed then; 0 = as on the platform
	} `json:"stop"`

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

// WatchMs says, in milliseconds, what the directory may be asked; see freshness.Settings. What is 0 or missing has its
// default: that of a directory on the own machine, which costs nothing to ask.
type WatchMs struct {
	Wait          float64 `json:"wait_ms"`
	LeastWait     float64 `json:"least_wait_ms"`
	Patience      float64 `json:"patience_ms"`
	LeastPatience float64 `json:"least_patience_ms"`
	Retry         float64 `json:"retry_ms"`
	RetryMost     float64 `json:"retry_most_ms"`
	Ask           float64 `json:"ask_ms"`
	AskMost       float64 `json:"ask_most_ms"`
}

// settings fills in defaults and checks.
func (w *WatchMs) settings() (s freshness.Settings, err error) {
	for _, d := range []struct {
		key  string
		ms   float64
		to   *time.Duration
		none time.Duration
	}{
		{"wait_ms", w.Wait, &s.Wait, defaultWait},
		{"least_wait_ms", w.LeastWait, &s.LeastWait, min(defaultLeastWait, orDefault(Duration(w.Wait), defaultWait))},
		{"patience_ms", w.Patience, &s.Patience, defaultPatience},
		{"least_patience_ms", w.LeastPatience, &s.LeastPatience,
			min(defaultLeastPatience, orDefault(Duration(w.Patience), defaultPatience))},
		{"retry_ms", w.Retry, &s.Retry, defaultRetry},
		{"retry_most_ms", w.RetryMost, &s.RetryMost, max(defaultRetryMost, Duration(w.Retry))},
		{"ask_ms", w.Ask, &s.Ask, defaultAsk},
		{"ask_most_ms", w.AskMost, &s.AskMost, max(defaultAskMost, Duration(w.Ask))},
	} {
		if !(d.ms >= 0) || d.ms > 0 && d.ms < 1 || d.ms > mostMs {
			return s, fmt.Errorf("watch.%s: %g does not lie between 1 and %d", d.key, d.ms, mostMs)
		}
		*d.to = orDefault(Duration(d.ms), d.none)
	}
	if s.Wait > time.Minute {
		return s, fmt.Errorf("watch.wait_ms: the directory holds no call for longer than a minute, not for %s", s.Wait)
	}
	if err = s.Check(); err != nil {
		return s, fmt.Errorf("watch.%w", err)
	}
	return s, nil
}

// Load reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_DISCOVERY go before what it says.
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
	for key, field := range map[string]*string{"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery} {
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
		{"limits", c.Limits == next.Limits},
		{"watch", c.WatchMs == next.WatchMs},
		{"snapshot", c.Snapshot == next.Snapshot},
		{"handover", c.Handover == next.Handover},
		{"stop", c.Stop == next.Stop},
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
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(a.addr); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not host:port", a.key, a.addr)
		}
	}
	var err error
	if c.Watch, err = c.WatchMs.settings(); err != nil {
		return err
	}
	if c.SeedText != "" {
		if c.Seed, err = strconv.ParseUint(c.SeedText, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", c.SeedText)
		}
	}
	c.Limits.MemoryMB = orDefault(c.Limits.MemoryMB, defaultMemoryMB)
	c.Limits.Sockets = orDefault(c.Limits.Sockets, defaultSockets)
	if c.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %d is negative", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < leastSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, leastSockets)
	}
	s := &c.Settings
	for _, d := range []struct {
		key  string
		ms   float64
		to   *time.Duration
		none time.Duration
	}{
		{"Limits.ConnIdleMs", s.Limits.ConnIdleMs, &c.ConnIdle, defaultIdle},
		{"Limits.ConnectTimeoutMs", s.Limits.ConnectTimeoutMs, &c.ConnectTimeout, defaultConnect},
		{"Safety.DrainGraceMs", s.Safety.DrainGraceMs, &c.DrainGrace, defaultGrace},
	} {
		if d.ms < 0 {
			return fmt.Errorf("settings.%s: %g is negative", d.key, d.ms)
		}
		if *d.to = orDefault(Duration(d.ms), d.none); d.ms > 0 && d.ms < 1 {
			return fmt.Errorf("settings.%s: %g ms is too short", d.key, d.ms)
		}
	}
	seen, longest := map[string]bool{}, time.Duration(0)
	for i, k := range s.Classes {
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("settings.RequestClasses[%d].Name: %q is empty or given twice", i, k.Name)
		}
		seen[k.Name] = true
		longest = max(longest, Duration(k.HardLimitMs))
	}
	if kill := c.Stop.KillAfterMs; !(kill >= 0) || kill > mostMs {
		return fmt.Errorf("stop.kill_after_ms: %g does not lie between 0 and %d", kill, mostMs)
	}
	for _, d := range []struct {
		key  string
		ms   float64
		to   *time.Duration
		none time.Duration
	}{
		{"snapshot.every_ms", c.Snapshot.EveryMs, &c.SnapshotEvery, defaultSnapshot},
		{"handover.ready_within_ms", c.Handover.ReadyWithinMs, &c.ReadyWithin, defaultReady},
	} {
		if !(d.ms >= 0) || d.ms > 0 && d.ms < 100 || d.ms > mostMs {
			return fmt.Errorf("%s: %g does not lie between 100 and %d", d.key, d.ms, mostMs)
		}
		*d.to = orDefault(Duration(d.ms), d.none)
	}
	c.StopPlan = stopping.For(longest, Duration(c.Stop.KillAfterMs))
	if err := c.StopPlan.Check(); err != nil {
		return fmt.Errorf("stop.%w", err)
	}
	if faults := c.Known.clean(); len(faults) > 0 {
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

// clean takes out the lines that nothing can be done with and says what is wrong with them.
func (l *List) clean() (faults []error) {
	kept := l.Members[:0]
	for i, m := range l.Members {
		_, _, err := net.SplitHostPort(m.Address)
		switch {
		case m.ID == "":
			faults = append(faults, fmt.Errorf("members[%d].id: missing", i))
		case err != nil && m.Phase == Serving:
			faults = append(faults, fmt.Errorf("members[%d].host_port: %q is not host:port", i, m.Address))
		default:
			kept = append(kept, m)
		}
	}
	l.Members = kept
	return faults
}

// ParseList reads what the directory answered, and the faults of the lines that it left out.
func ParseList(raw []byte) (l List, faults []error, err error) {
	if err = json.Unmarshal(raw, &l); err != nil {
		return l, nil, err
	}
	return l, l.clean(), nil
}

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func orDefault[T comparable](v, none T) T {
	if zero := *new(T); v == zero {
		return none
	}
	return v
}
