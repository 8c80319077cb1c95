package config

import (
	"cmp"
	"fmt"
	"time"

	"plankrouter/internal/shutdown"
	"plankrouter/internal/watchpolicy"
)

// Defaults and bounds of the keys in Extensions. The platform sets none of these keys.
const (
	defaultSnapshotEvery = 10 * time.Second
	defaultReadyWithin   = 10 * time.Second
	maxExtensionMs       = 24 * 3600 * 1000 // a day: the most that a key may set, in milliseconds
)

// Extensions has the keys that an installation may add to the platform's. They are under a key of their own, so that they can't
// collide with the platform's. Times are in milliseconds; 0 or missing is the default.
type Extensions struct {
	Watch    WatchMs  `json:"watch"`
	Snapshot struct { // of the learned state, in a file
		Path    string  `json:"path"` // "" = no snapshots
		EveryMs float64 `json:"every_ms"`
	} `json:"snapshot"`
	Handover struct { // to a successor, on SIGUSR2
		ReadyWithinMs float64 `json:"ready_within_ms"` // for the successor to become ready
	} `json:"handover"`
	Stop struct { // shutdown after SIGTERM
		KillAfterMs float64 `json:"kill_after_ms"` // from SIGTERM until the process may be killed; 0 = as on the platform
	} `json:"stop"`
}

// WatchMs has the times of the watch in milliseconds; see watchpolicy.Settings. The defaults suit a discovery service on
// this machine, where a poll costs nothing.
type WatchMs struct {
	Wait       float64 `json:"wait_ms"`
	MinWait    float64 `json:"least_wait_ms"`
	Timeout    float64 `json:"patience_ms"`
	MinTimeout float64 `json:"least_patience_ms"`
	Retry      float64 `json:"retry_ms"`
	MaxRetry   float64 `json:"retry_most_ms"`
	Refresh    float64 `json:"ask_ms"`
	MaxRefresh float64 `json:"ask_most_ms"`
}

// durationKey is a key of the file whose value is a time.
type durationKey struct {
	key      string
	millis   float64        // in the file
	target   *time.Duration // where the result is stored
	fallback time.Duration  // the result if millis is 0
}

// readDurations converts and stores times in milliseconds. Each must be 0 or lie between minMs and maxMs.
func readDurations(prefix string, minMs, maxMs float64, keys ...durationKey) error {
	for _, f := range keys {
		if !(f.millis >= 0) || f.millis > 0 && f.millis < minMs || f.millis > maxMs {
			return fmt.Errorf("%s%s: %g ms does not lie between %g and %g", prefix, f.key, f.millis, minMs, maxMs)
		}
		*f.target = cmp.Or(Duration(f.millis), f.fallback)
	}
	return nil
}

// checkExtensions sets the fields of c that are derived from Extensions, or returns an error that names the invalid key.
// longest is the longest deadline of a class.
func (c *Config) checkExtensions(longest time.Duration) error {
	own := &c.Extensions
	var kill time.Duration
	if err := readDurations("plankrouter.", 100, maxExtensionMs,
		durationKey{"snapshot.every_ms", own.Snapshot.EveryMs, &c.SnapshotInterval, defaultSnapshotEvery},
		durationKey{"handover.ready_within_ms", own.Handover.ReadyWithinMs, &c.HandoverReadyTimeout, defaultReadyWithin},
		durationKey{"stop.kill_after_ms", own.Stop.KillAfterMs, &kill, 0},
	); err != nil {
		return err
	}
	c.ShutdownSchedule = shutdown.NewSchedule(longest, kill)
	if err := c.ShutdownSchedule.Check(); err != nil {
		return fmt.Errorf("plankrouter.stop.%w", err)
	}
	var err error
	defaults := watchpolicy.DefaultSettings()
	defaults.Instances = c.Settings.Balancers
	if c.Settings.Discovery == discoveryPushed { // the endpoint list is pushed to an agent on this machine
		defaults = watchpolicy.PushedSettings(c.DrainGrace)
	}
	defaults.EffectiveAfter = c.PollInterval
	defaults.DrainGrace = c.DrainGrace
	c.Watch, err = own.Watch.toSettings(defaults)
	return err
}

// toSettings returns the checked settings. A default for a missing bound is adjusted so that it doesn't contradict the
// configured times.
func (w *WatchMs) toSettings(defaults watchpolicy.Settings) (s watchpolicy.Settings, err error) {
	s.Instances = defaults.Instances
	s.EffectiveAfter = defaults.EffectiveAfter
	s.DrainGrace = defaults.DrainGrace
	s.Pushed = defaults.Pushed
	if err := readDurations("plankrouter.watch.", 1, maxExtensionMs,
		durationKey{"wait_ms", w.Wait, &s.Wait, defaults.Wait},
		durationKey{"patience_ms", w.Timeout, &s.Timeout, defaults.Timeout},
		durationKey{"retry_ms", w.Retry, &s.RetryBackoff, defaults.RetryBackoff},
		durationKey{"ask_ms", w.Refresh, &s.RefreshInterval, defaults.RefreshInterval},
	); err != nil {
		return s, err
	}
	if err := readDurations("plankrouter.watch.", 1, maxExtensionMs,
		durationKey{"least_wait_ms", w.MinWait, &s.MinWait, min(defaults.MinWait, s.Wait)},
		durationKey{"least_patience_ms", w.MinTimeout, &s.MinTimeout, min(defaults.MinTimeout, s.Timeout)},
		durationKey{"retry_most_ms", w.MaxRetry, &s.MaxRetryBackoff, max(defaults.MaxRetryBackoff, s.RetryBackoff)},
		durationKey{"ask_most_ms", w.MaxRefresh, &s.MaxRefreshInterval, max(defaults.MaxRefreshInterval, s.RefreshInterval)},
	); err != nil {
		return s, err
	}
	if s.Wait > time.Minute {
		return s, fmt.Errorf("plankrouter.watch.wait_ms: discovery holds a poll for at most a minute, not for %s", s.Wait)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("plankrouter.watch.%w", err)
	}
	return s, nil
}
