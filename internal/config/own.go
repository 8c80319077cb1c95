package config

import (
	"cmp"
	"fmt"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/staleness"
	"time"
)

// Defaults of Own: those of the platform, on which none of its keys is given.
const (
	defaultSnapshot = 10 * time.Second
	defaultReady    = 10 * time.Second
	mostMs          = 24 * 3600 * 1000
)

// Own is what an installation may say beyond the platform's keys, under one key of its own so that the two never meet.
// Times are in milliseconds; 0 or missing stands for the default.
type Own struct {
	Watch    WatchMs  `json:"watch"`
	Snapshot struct { // what was learned is kept in a file
		Path    string  `json:"path"` // "" = it is not
		EveryMs float64 `json:"every_ms"`
	} `json:"snapshot"`
	Handover struct { // to a successor, on SIGUSR2
		ReadyWithinMs float64 `json:"ready_within_ms"` // the successor has so long to become ready
	} `json:"handover"`
	Stop struct { // what follows SIGTERM
		KillAfterMs float64 `json:"kill_after_ms"` // the process may be killed then; 0 = as on the platform
	} `json:"stop"`
}

// WatchMs says, in milliseconds, what the directory may be asked; see staleness.Settings. The defaults are those for a
// directory on the own machine, which costs nothing to ask.
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

// figure is a time in the file: its key, its value there, where it goes and what stands for 0.
type figure struct {
	key  string
	ms   float64
	to   *time.Duration
	none time.Duration
}

// read takes times in milliseconds, each of which is 0 or lies between least and most.
func read(prefix string, least, most float64, figures ...figure) error {
	for _, f := range figures {
		if !(f.ms >= 0) || f.ms > 0 && f.ms < least || f.ms > most {
			return fmt.Errorf("%s%s: %g ms does not lie between %g and %g", prefix, f.key, f.ms, least, most)
		}
		*f.to = cmp.Or(Duration(f.ms), f.none)
	}
	return nil
}

// checkOwn fills in what follows from Own, and names the key of what makes no sense. longest is the longest deadline of a class.
func (c *Config) checkOwn(longest time.Duration) error {
	o := &c.Own
	var kill time.Duration
	if err := read("plankrouter.", 100, mostMs,
		figure{"snapshot.every_ms", o.Snapshot.EveryMs, &c.SnapshotEvery, defaultSnapshot},
		figure{"handover.ready_within_ms", o.Handover.ReadyWithinMs, &c.ReadyWithin, defaultReady},
		figure{"stop.kill_after_ms", o.Stop.KillAfterMs, &kill, 0},
	); err != nil {
		return err
	}
	c.ShutdownSchedule = shutdown.NewSchedule(longest, kill)
	if err := c.ShutdownSchedule.Check(); err != nil {
		return fmt.Errorf("plankrouter.stop.%w", err)
	}
	var err error
	usual := staleness.DefaultSettings()
	if usual.Instances = c.Settings.Balancers; c.Settings.Discovery == pushed { // to an agent on the own machine
		usual = staleness.PushedSettings(c.DrainGrace)
	}
	usual.EffectiveBy, usual.DrainGrace = c.PollInterval, c.DrainGrace
	c.Watch, err = o.Watch.settings(usual)
	return err
}

// settings fills in defaults, which stay on the right side of what is given, and checks.
func (w *WatchMs) settings(usual staleness.Settings) (s staleness.Settings, err error) {
	s.Instances, s.EffectiveBy, s.DrainGrace, s.Pushed = usual.Instances, usual.EffectiveBy, usual.DrainGrace, usual.Pushed
	if err := read("plankrouter.watch.", 1, mostMs,
		figure{"wait_ms", w.Wait, &s.Wait, usual.Wait},
		figure{"patience_ms", w.Timeout, &s.Timeout, usual.Timeout},
		figure{"retry_ms", w.Retry, &s.RetryBackoff, usual.RetryBackoff},
		figure{"ask_ms", w.Refresh, &s.RefreshInterval, usual.RefreshInterval},
	); err != nil {
		return s, err
	}
	if err := read("plankrouter.watch.", 1, mostMs,
		figure{"least_wait_ms", w.MinWait, &s.MinWait, min(usual.MinWait, s.Wait)},
		figure{"least_patience_ms", w.MinTimeout, &s.MinTimeout, min(usual.MinTimeout, s.Timeout)},
		figure{"retry_most_ms", w.MaxRetry, &s.MaxRetryBackoff, max(usual.MaxRetryBackoff, s.RetryBackoff)},
		figure{"ask_most_ms", w.MaxRefresh, &s.MaxRefreshInterval, max(usual.MaxRefreshInterval, s.RefreshInterval)},
	); err != nil {
		return s, err
	}
	if s.Wait > time.Minute {
		return s, fmt.Errorf("plankrouter.watch.wait_ms: the directory holds no call for longer than a minute, not for %s", s.Wait)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("plankrouter.watch.%w", err)
	}
	return s, nil
}
