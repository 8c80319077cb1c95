package staleness

import (
	"testing"
	"time"
)

func TestSettings(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"least_wait":     func(s *Settings) { s.MinWait = 2 * s.Wait },
		"least_patience": func(s *Settings) { s.MinTimeout = 0 },
		"retry":          func(s *Settings) { s.MaxRetryBackoff = 0 },
		"ask":            func(s *Settings) { s.RefreshInterval = -1 },
	} {
		s := defaults
		spoil(&s)
		if _, err := New(s, 1, true); err == nil {
			t.Errorf("%s: %+v is taken", key, s)
		}
	}
}

// Whatever the grace, a watch of an agent that has died is given up, and the agent asked anew, within it.
func TestPushedSettingsPollWithinGrace(t *testing.T) {
	if c := PushedSettings(ms); c.Check() != nil || c.MinWait < 20*ms || c.RetryBackoff < 10*ms {
		t.Errorf("a grace of a millisecond: %+v", c)
	}
	for _, grace := range []time.Duration{200 * ms, 750 * ms, 2000 * ms, 10 * time.Second} {
		scheduler, err := New(PushedSettings(grace), 3, false)
		if err != nil {
			t.Fatalf("%s: %v", grace, err)
		}
		now := time.Unix(1e9, 0)
		for i := range 20 { // answered in time
			c := scheduler.Next(now)
			if c.Delay != 0 || i == 0 && c.Wait != 0 {
				t.Fatalf("%s: it waits %s", grace, c.Delay)
			}
			scheduler.Responded(c, c.Wait+ms)
			now = now.Add(c.Wait + ms)
		}
		dead := scheduler.Next(now)
		scheduler.Failed()
		again := scheduler.Next(now.Add(dead.Timeout))
		if gap := dead.Timeout + again.Delay; gap > grace*3/4 || !again.Complete {
			t.Errorf("%s: asked anew %s after it died", grace, gap)
		}
		if gap := dead.StallTimeout + again.Delay; dead.StallTimeout <= 0 || gap > grace*3/4 {
			t.Errorf("%s: asked anew %s after its answer stopped", grace, gap)
		}
		for range 20 {
			scheduler.Failed()
			if c := scheduler.Next(now); c.Delay+c.Timeout > grace {
				t.Errorf("%s: after a long silence it asks every %s", grace, c.Delay+c.Timeout)
			}
		}
	}
}
