// Package config is the only place where the program's configuration is read, checked and given defaults, and where the
// platform's keys are mapped to the terms of the other packages. Error messages name the invalid key.
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

// readTimeout bounds the retries of a file that temporarily can't be read: a SIGHUP is sent only once.
const readTimeout = 2 * time.Second

// Config is the configuration of a sidecar.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	AdminAddr string `json:"admin_addr"` // for operators' requests; "" = no such listener
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
	ConnIdle             time.Duration        `json:"-"` // after which a server closes an idle connection
	ConnectTimeout       time.Duration        `json:"-"`
	DrainGrace           time.Duration        `json:"-"`
	// While no poll waits, a change of the endpoint list that is older than this counts as known to the sidecar; 0 = not set.
	PollInterval time.Duration `json:"-"`

	fileKeys map[string]any // the keys and values as they are in the file, for Reload
}

// Load reads and checks the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR override the file.
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

// readFile reads the configuration file; a test replaces it.
var readFile = func(path string) ([]byte, error) {
	if err := faultinjection.Inject(faultinjection.ReadConfig); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}

// Duration converts milliseconds to a duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts a duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
