package watchpolicy

import (
	"cmp"
	"fmt"
	"time"
)

const (
	defaultEffectiveAfter = 6 * time.Second        // Settings.EffectiveAfter of the platform's protocol
	minDrainGrace         = 200 * time.Millisecond // shortest drain grace for which PushedSettings adapts the settings
)

// Settings bound the frequency and the duration of polls. They depend on what a poll costs at the source: an agent on the
// same machine can be polled every second at no cost, a service that thousands of instances share cannot. Durations are
// positive.
type Settings struct {
	Wait               time.Duration // how long a poll is held while there is no change
	MinWait            time.Duration // lower bound on a wait that contradictions shorten
	Timeout            time.Duration // upper bound on the time from the end of a poll's wait until it times out
	MinTimeout         time.Duration // lower bound on the learned timeout, however quickly responses usually arrive
	RetryBackoff       time.Duration // from a failure to the next poll; doubled with each consecutive failure
	MaxRetryBackoff    time.Duration // upper bound on the delay after a failure
	RefreshInterval    time.Duration // between two refreshes that evidence causes; doubled while they do not change the list
	MaxRefreshInterval time.Duration // upper bound on the interval between two refreshes
	EffectiveAfter     time.Duration // after which changes take effect while no poll waits; 0 = defaultEffectiveAfter, the maximum
	Pushed             bool          // the list is pushed to an agent: a change takes effect once the agent may have received it
	Instances          int           // known number of instances that poll the same source; below 1 counts as 1
	DrainGrace         time.Duration // how long a draining server still accepts new requests
}

// PushedSettings returns the settings for an agent on the same machine that the list is pushed to. The agent responds at once
// and a poll costs nothing, so that the number of instances does not matter; but a change that has reached the agent takes
// effect whether or not the agent was polled. A failed watch must therefore be detected, and the agent polled again, within
// the drain grace: at first the wait, the minimum timeout and the retry delay together take 0.7 of the grace, and so do the
// timeout and the longest retry delay at an agent that stays down. A shorter grace than minDrainGrace counts as
// minDrainGrace, so that retries keep a delay.
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

// DefaultSettings returns the settings for a source that a single sidecar polls.
func DefaultSettings() Settings {
	return Settings{
		Wait: time.Second, MinWait: 250 * time.Millisecond,
		Timeout: time.Second, MinTimeout: 250 * time.Millisecond,
		RetryBackoff: 50 * time.Millisecond, MaxRetryBackoff: 2 * time.Second,
		RefreshInterval: time.Second, MaxRefreshInterval: 30 * time.Second,
		Instances: 1,
	}
}

// Check returns an error that names the first invalid setting by its configuration key, or nil.
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
			return fmt.Errorf("%s: %s must be above 0 and at most %s, which is %s", bounds.key, bounds.low, bounds.maxKey, bounds.high)
		}
	}
	return nil
}

// forInstances returns the settings with defaults filled in and retry delays raised for the number of instances.
func (s Settings) forInstances() Settings {
	s.Instances = max(1, s.Instances)
	s.EffectiveAfter = min(cmp.Or(s.EffectiveAfter, defaultEffectiveAfter), defaultEffectiveAfter)
	n := time.Duration(s.Instances)
	s.RetryBackoff = max(s.RetryBackoff, min(n*retryPerInstance, maxFirstRetry))
	s.MaxRetryBackoff = max(s.MaxRetryBackoff, min(n*maxRetryPerInstance, maxInstanceDelay))
	return s
}
