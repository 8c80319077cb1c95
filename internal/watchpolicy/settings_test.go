package watchpolicy

import (
	"testing"
	"time"
)

func TestSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"least_wait":     func(s *Settings) { s.MinWait = 2 * s.Wait },
		"least_patience": func(s *Settings) { s.MinTimeout = 0 },
		"retry":          func(s *Settings) { s.MaxRetryBackoff = 0 },
		"ask":            func(s *Settings) { s.RefreshInterval = -1 },
	} {
		settings := defaults
		invalidate(&settings)
		if _, err := New(settings, 1, true); err == nil {
			t.Errorf("%s: %+v is accepted", key, settings)
		}
	}
}

// Whatever the drain grace, a failed watch of an agent times out and the agent is polled again within that grace.
func TestPushedSettingsPollWithinGrace(t *testing.T) {
	if s := PushedSettings(ms); s.Check() != nil || s.MinWait < 20*ms || s.RetryBackoff < 10*ms {
		t.Errorf("a grace of a millisecond: %+v", s)
	}
	for _, grace := range []time.Duration{200 * ms, 750 * ms, 2000 * ms, 10 * time.Second} {
		scheduler, err := New(PushedSettings(grace), 3, false)
		if err != nil {
			t.Fatalf("%s: %v", grace, err)
		}
		now := time.Unix(1e9, 0)
		for i := range 20 { // with timely responses
			poll := scheduler.Next(now)
			if poll.Delay != 0 || i == 0 && poll.Wait != 0 {
				t.Fatalf("%s: delay %s", grace, poll.Delay)
			}
			scheduler.Responded(poll, poll.Wait+ms)
			now = now.Add(poll.Wait + ms)
		}
		failed := scheduler.Next(now)
		scheduler.Failed()
		retry := scheduler.Next(now.Add(failed.Timeout))
		if gap := failed.Timeout + retry.Delay; gap > grace*3/4 || !retry.Complete {
			t.Errorf("%s: polled again %s after the watch failed", grace, gap)
		}
		if gap := failed.StallTimeout + retry.Delay; failed.StallTimeout <= 0 || gap > grace*3/4 {
			t.Errorf("%s: polled again %s after its response stopped", grace, gap)
		}
		for range 20 {
			scheduler.Failed()
			if poll := scheduler.Next(now); poll.Delay+poll.Timeout > grace {
				t.Errorf("%s: %s between polls after many failures", grace, poll.Delay+poll.Timeout)
			}
		}
	}
}
