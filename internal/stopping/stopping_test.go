package stopping

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The timetable for what the platform grants, for a kill that comes soon and for one that comes late.
func TestFor(t *testing.T) {
	for _, c := range []struct{ longest, kill, last, answer, end, early time.Duration }{
		{2500 * ms, 0, 3050 * ms, 3100 * ms, 3200 * ms, 700 * ms},
		{10 * time.Second, 0, 3550 * ms, 3600 * ms, 3700 * ms, 700 * ms},
		{300 * ms, 0, 850 * ms, 900 * ms, 1000 * ms, 700 * ms},
		{2500 * ms, 90 * time.Second, 89850 * ms, 89900 * ms, 90 * time.Second, 0},
		{2500 * ms, 500 * ms, 400 * ms, 400 * ms, 500 * ms, 0},
	} {
		p := For(c.longest, c.kill)
		if want := (Plan{c.last, c.answer, c.end, c.early}); p != want {
			t.Errorf("longest %s, kill %s: %+v, want %+v", c.longest, c.kill, p, want)
		}
		if err := p.Check(); err != nil {
			t.Error(err)
		}
	}
	if For(time.Second, 400*ms).Check() == nil {
		t.Error("a kill after 400 ms is taken")
	}
}

// Whatever comes in when, its answer is due before the kill, or else it came so early that its deadline is.
func TestPatience(t *testing.T) {
	p := For(2500*ms, 0)
	for _, c := range []struct{ since, patience, want time.Duration }{
		{-2 * time.Second, 8 * time.Second, 5100 * ms}, // of a class that was dropped since
		{-time.Second, 4200 * ms, 4200 * ms},
		{-time.Second, 4201 * ms, 4100 * ms},
		{0, 2500 * ms, 2500 * ms},
		{650 * ms, 8 * time.Second, 2450 * ms},
		{699 * ms, 2500 * ms, 2500 * ms},
		{700 * ms, 2500 * ms, 2400 * ms},
		{time.Second, 400 * ms, 400 * ms},
		{2990 * ms, 400 * ms, 110 * ms},
		{5 * time.Second, 400 * ms, 0},
	} {
		if got := p.Patience(c.since, c.patience); got != c.want {
			t.Errorf("at %s with %s: %s, want %s", c.since, c.patience, got, c.want)
		}
	}
	for longest := 100 * ms; longest < 6*time.Second; longest += 170 * ms {
		p := For(longest, []time.Duration{0, 500 * ms, time.Second, 3 * time.Second}[longest/(170*ms)%4])
		for since := -longest; since <= p.Last; since += 10 * ms {
			for _, patience := range []time.Duration{10 * ms, longest / 2, longest, 2 * longest} {
				if end := since + p.Patience(since, patience); end > p.Kill {
					t.Fatalf("longest %s: taken at %s for %s, answered by %s, killed at %s", longest, since, patience, end, p.Kill)
				}
			}
		}
	}
}
