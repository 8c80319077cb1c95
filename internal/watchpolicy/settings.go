package watchpolicy

import (
	"cmp"
	"fmt"
	"time"
)

const (
	defaultEffectiveBy = 6 * time.Second        // see Settings.EffectiveBy: the platform's protocol
	minDrainGrace      = 200 * time.Millisecond // that PushedSettings are made for
)

// Settings bound what is asked of discovery. What a poll costs there decides on them: an agent on the own machine is polled every
// second for nothing, one service for thousands of instances is not. Durations are positive.
type Settings struct {
	Wait               time.Duration // for which a poll is held while there is no change
	MinWait            time.Duration // to which contradictions may shorten that
	Timeout            time.Duration // beyond that wait, at most, before a poll is given up
	MinTimeout         time.Duration // and at least, however quickly answers usually come
	RetryBackoff       time.Duration // from a failure to the next poll; doubled with each further one
	MaxRetryBackoff    time.Duration // bound on that
	RefreshInterval    time.Duration // between two refreshes that evidence causes; doubled while they settle nothing
	MaxRefreshInterval time.Duration // bound on that
	EffectiveBy        time.Duration // after which all changes take effect while no poll waits for them; 0 = defaultEffectiveBy, which bounds it
	Pushed             bool          // the list is pushed: changes take effect as soon as they could have arrived
	Instances          int           // that poll the same source, as far as is known; below 1 counts as 1
	DrainGrace         time.Duration // for which a server that drains still takes work
}

// PushedSettings returns the settings for an agent on the own machine that the list is pushed to. It answers at once and costs nothing,
// so that no other instance matters; and changes that it has take effect whether or not it was polled. Hence a watch that has died is
// found out, and the agent polled anew, within the grace of a drain: a wait, the time beyond it and the pause together are 0.7 of it at
// first, and an agent that has been down is heard again as soon. A grace too short for that is no reason to poll without a pause.
func PushedSettings(grace time.Duration) Settings {
	grace = max(grace, minDrainGrace)
	defaults := DefaultSettings()
	return Settings{
		Wait: min(grace*2/5, defaults.Wait), MinWait: min(grace/5, defaults.MinWait),
		Timeout: min(grace/2, defaults.Timeout), MinTimeout: min(grace/5, defaults.MinTimeout),
		RetryBackoff: min(grace/10, defaults.RetryBackoff), MaxRetryBackoff: min(grace/5, defaults.MaxRetryBackoff),
		RefreshInterval: defaults.RefreshInterval, MaxRefreshInterval: defaults.MaxRefreshInterval,
		Pushed: true, Instances: 1,
	}
}

// DefaultSettings returns the settings of a single sidecar for a source that it polls.
func DefaultSettings() Settings {
	return Settings{
		Wait: time.Second, MinWait: 250 * time.Millisecond,
		Timeout: time.Second, MinTimeout: 250 * time.Millisecond,
		RetryBackoff: 50 * time.Millisecond, MaxRetryBackoff: 2 * time.Second,
		RefreshInterval: time.Second, MaxRefreshInterval: 30 * time.Second,
		Instances: 1,
	}
}

// Check returns an error that names the setting that makes no sense, by its key in a configuration.
func (s Settings) Check() error {
	for _, bounds := range []struct {
		key, maxKey string
		low, high   time.Duration
	}{
		{"least_wait_ms", "wait_ms", s.MinWait, s.Wait},
		{"least_patience_ms", "patience_ms", s.MinTimeout, s.Timeout},
		{"retry_ms", "retry_most_ms", s.RetryBackoff, s.MaxRetryBackoff},
		{"ask_ms", "ask_most_ms", s.RefreshInterval, s.MaxRefreshInterval},
	} {
		if bounds.low <= 0 || bounds.high < bounds.low {
			return fmt.Errorf("%s: %s does not lie above 0 and up to %s, %s", bounds.key, bounds.low, bounds.maxKey, bounds.high)
		}
	}
	return nil
}

// forInstances returns the settings sized for the number of instances.
func (s Settings) forInstances() Settings {
	s.Instances = max(1, s.Instances)
	s.EffectiveBy = min(cmp.Or(s.EffectiveBy, defaultEffectiveBy), defaultEffectiveBy)
	n := time.Duration(s.Instances)
	s.RetryBackoff = max(s.RetryBackoff, min(n*retryPerInstance, maxFirstRetry))
	s.MaxRetryBackoff = max(s.MaxRetryBackoff, min(n*maxRetryPerInstance, maxInstanceDelay))
	return s
}
