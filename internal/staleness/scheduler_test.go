package staleness

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

var defaults = DefaultSettings()

func newScheduler(t *testing.T, providers int) *Scheduler {
	t.Helper()
	scheduler, err := New(defaults, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.ReplaceListed(listedServers(providers))
	return scheduler
}

// newSchedulerAmong returns a watch that is one of so many.
func newSchedulerAmong(t *testing.T, callers int, seed uint64) *Scheduler {
	t.Helper()
	set := defaults
	set.Instances = callers
	scheduler, err := New(set, seed, false)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.ReplaceListed(listedServers(15))
	return scheduler
}

func listedServers(n int) map[string]float64 {
	l := map[string]float64{}
	for i := range n {
		l[fmt.Sprint("p", i)] = 1
	}
	return l
}

func checkBetween(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %s, want %s to %s", what, got, least, most)
	}
}

// A call is held for a bounded wait, and how long it may be late is learned from how late answers are.
func TestTimeoutIsLearned(t *testing.T) {
	scheduler, now := newScheduler(t, 0), time.Unix(1e9, 0)
	c := scheduler.Next(now)
	checkBetween(t, "first wait", c.Wait, 900*ms, time.Second)
	checkBetween(t, "patience before any sample", c.Timeout-c.Wait, time.Second, time.Second)
	for range 50 {
		c = scheduler.Next(now)
		scheduler.Responded(c, c.Wait+2*ms)
	}
	c = scheduler.Next(now)
	checkBetween(t, "patience with a quick directory", c.Timeout-c.Wait, 250*ms, 250*ms)
	scheduler.Responded(c, 10*ms) // news: how late the directory is, this does not say
	for range 50 {
		c = scheduler.Next(now)
		scheduler.Responded(c, c.Wait+400*ms)
	}
	c = scheduler.Next(now)
	checkBetween(t, "patience with a slow one", c.Timeout-c.Wait, 400*ms, 500*ms)
	if c.Complete || c.Delay != 0 {
		t.Errorf("after an answer: %+v", c)
	}
}

// A directory that is down is asked less and less often, for the whole list, and given ever more time.
func TestFailures(t *testing.T) {
	scheduler, now := newScheduler(t, 0), time.Unix(1e9, 0)
	scheduler.Responded(Poll{Complete: true}, ms)
	for i, most := range []time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, 2 * time.Second, 2 * time.Second} {
		scheduler.Failed()
		c := scheduler.Next(now)
		checkBetween(t, fmt.Sprint("pause ", i), c.Delay, most/2, most)
		checkBetween(t, fmt.Sprint("time ", i), c.Timeout, min(time.Second, 250*ms<<i), time.Second)
		if !c.Complete || c.Wait != 0 {
			t.Errorf("after a failure: %+v", c)
		}
	}
	scheduler.Responded(Poll{Complete: true}, ms)
	if c := scheduler.Next(now); c.Complete || c.Delay != 0 {
		t.Errorf("after the answer: %+v", c)
	}
	scheduler.SourceChanged()
	if c := scheduler.Next(now); !c.Complete || c.Delay != 0 || c.Timeout != time.Second {
		t.Errorf("at another directory: %+v", c)
	}
}

// What all callers together ask of a directory, when all start or see the same at one moment and it turns them away: the
// most calls in any 100 ms of the first half minute, and how many there are a second at its end.
func TestSumOverInstances(t *testing.T) {
	for _, c := range []struct {
		callers            int
		most, last, doubts int // doubts: whole lists asked for in any second, for what all see while their watch is in time
	}{{1, 2, 1, 1}, {4, 8, 4, 0}, {32, 20, 15, 0}, {80, 32, 18, 0}, {300, 110, 10, 0}, {2000, 750, 40, 0}, {5000, 1800, 90, 0}} {
		calls, doubts := map[int]int{}, map[int]int{}
		for i := range c.callers {
			scheduler, at := newSchedulerAmong(t, c.callers, uint64(i)), time.Duration(0)
			for at < 30*time.Second {
				next := scheduler.Next(time.Unix(0, 0).Add(at))
				if next.Complete {
					t.Fatalf("caller %d asks for the whole list", i)
				}
				at += next.Delay
				calls[int(at/(100*ms))]++
				scheduler.Rejected()
			}
			scheduler, at = newSchedulerAmong(t, c.callers, uint64(i)), 0
			for end := time.Duration(0); at < 30*time.Second; at += 50 * ms {
				now := time.Unix(1e9, 0).Add(at)
				if at >= end {
					next := scheduler.Next(now)
					scheduler.Responded(next, next.Wait)
					end = at + next.Delay + next.Wait
				}
				if first := scheduler.Observe(now, "p1", ConnectRefused); scheduler.Observe(now, "p2", ConnectRefused) || first {
					doubts[int(at/time.Second)]++
					scheduler.Rejected()
					scheduler.Responded(scheduler.Next(now), 0)
					break
				}
			}
		}
		most, last, doubted := 0, 0, 0
		for at, n := range calls {
			if most = max(most, n); at >= 290 && at < 300 {
				last += n
			}
		}
		for _, n := range doubts {
			doubted = max(doubted, n)
		}
		if most > c.most || last > c.last || doubted != c.doubts {
			t.Errorf("%d callers: %d calls in 100 ms, %d in the last second, %d whole lists in one; want at most %d, %d, and %d",
				c.callers, most, last, doubted, c.most, c.last, c.doubts)
		}
	}
}

// Where calls wait in turn for two seconds, one that is not the only caller waits too, whatever it has learned of a quick
// directory; and while calls are turned away no evidence makes it leave its place.
func TestSourceFull(t *testing.T) {
	scheduler, now := newSchedulerAmong(t, 80, 1), time.Unix(1e9, 0)
	if c := scheduler.Next(now); c.Complete || c.Timeout-c.Wait != 1900*ms || c.Delay > 800*ms {
		t.Errorf("the first call: %+v", c)
	}
	for range 50 {
		c := scheduler.Next(now)
		scheduler.Responded(c, c.Wait+2*ms)
	}
	if c := scheduler.Next(now); c.Timeout > 1500*ms {
		t.Errorf("a watch that goes on: %+v", c)
	}
	scheduler.Rejected()
	if c := scheduler.Next(now); c.Complete || c.Timeout-c.Wait != 1900*ms || c.Delay < 250*ms || c.Delay > 500*ms {
		t.Errorf("turned away: %+v", c)
	}
	now = now.Add(time.Minute) // overdue
	if scheduler.Observe(now, "p1", ConnectRefused); scheduler.Observe(now, "p2", ConnectRefused) {
		t.Error("the place is left")
	}
	scheduler.Responded(Poll{Complete: true}, ms) // it had that at hand
	if c := scheduler.Next(now); c.Timeout-c.Wait != 1900*ms {
		t.Errorf("after a whole list: %+v", c)
	}
	c := scheduler.Next(now)
	scheduler.Responded(c, c.Wait+2*ms)
	now = now.Add(time.Minute)
	if scheduler.Observe(now, "p1", ConnectRefused); !scheduler.Observe(now, "p2", ConnectRefused) {
		t.Error("no evidence counts any more")
	}
	if c := scheduler.Next(now); !c.Complete || c.Delay > 800*ms || c.Timeout != 4*time.Second {
		t.Errorf("in doubt: %+v", c)
	}
	scheduler.Rejected()
	if c := scheduler.Next(now); c.Complete {
		t.Errorf("a doubt that is turned away: %+v", c)
	}
	scheduler.Failed()
	if scheduler.Rejected(); !scheduler.Next(now).Complete {
		t.Error("what is owed since a failure is forgotten")
	}
}

// A call that waits in line where others have been turned away since is one that had no turn: it keeps its place among those who
// ask for changes. Elsewhere silence may be the end of who has told the list, and the whole of it is asked for.
func TestTimedOut(t *testing.T) {
	scheduler, now := newSchedulerAmong(t, 32, 1), time.Unix(1e9, 0)
	scheduler.Next(now)
	scheduler.Rejected()
	for range 3 {
		if c := scheduler.Next(now); c.Complete || c.Timeout-c.Wait < 1900*ms {
			t.Errorf("in line: %+v", c)
		}
		scheduler.TimedOut()
	}
	scheduler.Responded(scheduler.Next(now), ms)
	scheduler.Next(now)
	if scheduler.TimedOut(); !scheduler.Next(now).Complete {
		t.Error("a watch that has fallen silent goes on")
	}
	scheduler.Rejected()
	scheduler.TimedOut()
	if c := scheduler.Next(now); !c.Complete || c.Timeout < 2*time.Second {
		t.Errorf("what is owed since the silence is forgotten, or given up before its turn: %+v", c)
	}
	set := PushedSettings(750 * ms)
	if scheduler, _ = New(set, 1, false); true {
		scheduler.Next(now)
		scheduler.Rejected()
		if scheduler.TimedOut(); !scheduler.Next(now).Complete {
			t.Error("an agent has no line")
		}
	}
}
