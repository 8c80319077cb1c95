// Package config is the one place where the program's configuration is read, checked and given defaults, and where the
// platform's keys are mapped to the terms of the other packages. Messages name the key at fault.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/transient"
	"plankrouter/internal/watchpolicy"
	"plankrouter/policy"
)

// readTimeout is for a file that can't be opened for a moment: a SIGHUP comes once.
const readTimeout = 2 * time.Second

// Config is the configuration of a sidecar.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	AdminAddr string `json:"admin_addr"` // where operators call; "" = there is no such listener
	SeedText  string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known      endpoints.List `json:"known"`
	Settings   Settings       `json:"settings"`
	Extensions Extensions     `json:"plankrouter"`

	ShutdownSchedule     shutdown.Schedule    `json:"-"`
	SnapshotInterval     time.Duration        `json:"-"`
	HandoverReadyTimeout time.Duration        `json:"-"`
	Watch                watchpolicy.Settings `json:"-"`
	Seed                 uint64               `json:"-"`
	Policy               policy.Config        `json:"-"`
	ConnIdle             time.Duration        `json:"-"` // a server closes a connection left idle this long
	ConnectTimeout       time.Duration        `json:"-"`
	DrainGrace           time.Duration        `json:"-"`
	PollInterval         time.Duration        `json:"-"` // without a subscription all changes older than this count as listed; 0 = not said

	fileKeys map[string]any // as they stand in the file, for Reload
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

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
