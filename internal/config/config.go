// Package config is the one place where what the program is told is read, checked and given defaults.
// Messages name the key at fault.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/staleness"
	"plankrouter/internal/transient"
	"plankrouter/policy"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Defaults for what the platform may leave out.
const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnIdle       = 60 * time.Second
	defaultConnectTimeout = 150 * time.Millisecond
	defaultDrainGrace     = 750 * time.Millisecond
	maxSettingMs          = 9e12            // ms; a Duration can't hold more than this
	minSockets            = 32              // below this nothing useful can be served
	readTimeout           = 2 * time.Second // for a file that can't be opened for a moment: a SIGHUP comes once
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
	Known    endpoints.List `json:"known"`
	Settings Settings       `json:"settings"`
	Own      Own            `json:"plankrouter"`

	ShutdownSchedule shutdown.Schedule  `json:"-"`
	SnapshotEvery    time.Duration      `json:"-"`
	ReadyWithin      time.Duration      `json:"-"`
	Watch            staleness.Settings `json:"-"`
	Seed             uint64             `json:"-"`
	Policy           policy.Config      `json:"-"`
	ConnIdle         time.Duration      `json:"-"` // a provider closes a connection left idle this long
	ConnectTimeout   time.Duration      `json:"-"`
	DrainGrace       time.Duration      `json:"-"`
	PollInterval     time.Duration      `json:"-"` // without a subscription all counts as told that was listed so long ago; 0 = not said

	fileKeys map[string]any // of the file
}

// Load reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR go before what it says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: missing")
	}
	var raw []byte
	err := transient.Retry(readTimeout, func() (err error) {
		raw, err = readFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c := new(Config)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	if err := json.Unmarshal(raw, &c.fileKeys); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	for key, field := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery,
		"GW_ADMIN_ADDR": &c.AdminAddr,
	} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
	return c, c.check()
}

// readFile reads the configuration; a test puts another in its place.
var readFile = func(path string) ([]byte, error) {
	if err := faultinjection.Inject(faultinjection.ReadConfig); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}

// Reload reads the file anew and checks it whole. What it says of the directory goes before GW_DISCOVERY: the environment is
// that of the start, and the file is newer. A key that the file had before must still be there: a file that is incomplete says
// nothing. fixed names the keys that differ and can't change while the program runs: next has the values of c there.
func (c *Config) Reload(getenv func(string) string) (next *Config, fixed []string, err error) {
	next, err = Load(func(key string) string {
		if key == "GW_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	if err == nil && next.Settings.Limits.MaxAttempts < 1 {
		err = fmt.Errorf("settings.Limits.MaxAttempts: %d is not a positive number", next.Settings.Limits.MaxAttempts)
	}
	if err == nil {
		err = checkNoKeyMissing("", c.fileKeys, next.fileKeys)
	}
	if err != nil {
		return nil, nil, err
	}
	for _, k := range []struct {
		key  string
		same bool
		keep func()
	}{
		{"name", c.Name == next.Name, func() { next.Name = c.Name }},
		{"listen", c.Listen == next.Listen, func() { next.Listen = c.Listen }},
		{"admin_addr", c.AdminAddr == next.AdminAddr, func() { next.AdminAddr = c.AdminAddr }},
		{"seed", c.Seed == next.Seed, func() { next.Seed = c.Seed }},
		{"limits", c.Limits == next.Limits, func() { next.Limits = c.Limits }},
		{"plankrouter", c.Own == next.Own, func() { next.Own = c.Own }},
		{"settings.Dcs", slices.Equal(c.Settings.Dcs, next.Settings.Dcs), func() { next.Settings.Dcs = c.Settings.Dcs }},
		{
			"settings.Locality", c.Settings.Locality == next.Settings.Locality,
			func() { next.Settings.Locality = c.Settings.Locality },
		},
		{
			"settings.Discovery", c.Settings.Discovery == next.Settings.Discovery,
			func() { next.Settings.Discovery = c.Settings.Discovery },
		},
		{
			"settings.Report", slices.Equal(c.Settings.Report.Names, next.Settings.Report.Names),
			func() { next.Settings.Report = c.Settings.Report },
		},
	} {
		if !k.same {
			fixed = append(fixed, k.key)
			k.keep()
		}
	}
	return next, fixed, next.check()
}

// checkNoKeyMissing returns an error that names a key which one has and the other has not. Of lists, see model.
func checkNoKeyMissing(path string, one, other any) error {
	switch was := one.(type) {
	case map[string]any:
		is, _ := other.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			if path == "" && optionalKeys[key] {
				continue
			}
			if _, have := is[key]; !have {
				return fmt.Errorf("%s%s: missing, and it was there before: write the whole file", path, key)
			}
			if err := checkNoKeyMissing(path+key+".", was[key], is[key]); err != nil {
				return err
			}
		}
	case []any:
		is, _ := other.([]any)
		for i := 0; len(was) > 0 && path != "known.members." && i < len(is); i++ {
			if err := checkNoKeyMissing(fmt.Sprintf("%s[%d].", strings.TrimSuffix(path, "."), i), requiredKeys(was, is[i]), is[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// requiredKeys has the keys that an entry of a list can't be without: those that the entry of its name had or, where there was none,
// those that all had. The order of the entries says nothing.
func requiredKeys(was []any, entry any) map[string]any {
	is, _ := entry.(map[string]any)
	name, _ := is["Name"].(string)
	first, _ := was[0].(map[string]any)
	common := maps.Clone(first)
	for _, w := range was {
		one, _ := w.(map[string]any)
		if one["Name"] == name && name != "" {
			return one
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, have := one[key]; return !have })
	}
	return common
}

// optionalKeys are the keys that a file may leave out though it had them.
var optionalKeys = map[string]bool{"plankrouter": true, "admin_addr": true}

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
	if c.Limits.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, minSockets)
	}
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
	if len(s.Classes) == 0 {
		return errors.New("settings.RequestClasses: missing or empty")
	}
	seen, longest := map[string]bool{}, time.Duration(0)
	for i, k := range s.Classes {
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("settings.RequestClasses[%d].Name: %q is empty or given twice", i, k.Name)
		}
		seen[k.Name] = true
		for _, f := range []struct {
			key string
			ms  float64
		}{{"AimMs", k.AimMs}, {"HardLimitMs", k.HardLimitMs}} {
			if !(f.ms > 0) {
				return fmt.Errorf("settings.RequestClasses[%d].%s: %g is not a positive number", i, f.key, f.ms)
			}
		}
		longest = max(longest, Duration(k.HardLimitMs))
	}
	if err := c.checkOwn(longest); err != nil {
		return err
	}
	if faults := c.Known.RemoveInvalid(); len(faults) > 0 {
		return fmt.Errorf("known.%w", faults[0])
	}
	c.Known.Normalize() // the directory's own contradiction is no reason not to start
	if c.Policy, err = s.PolicyConfig(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if _, err := policy.New(c.Policy, c.Seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
