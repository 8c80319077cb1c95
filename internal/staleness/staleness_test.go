package staleness

import (
	"cmp"
	"fmt"
	"strings"
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

// Each step is a sign, or news from the directory; asks says whether it asks for the whole list.
func TestEvidence(t *testing.T) {
	type step struct {
		at       time.Duration
		provider int
		sign     Evidence
		asks     bool
	}
	again := func(from, every time.Duration, n int, asks ...int) (steps []step) { // two providers refuse again and again
		for i := range n {
			at := from + time.Duration(i)*every
			steps = append(steps, step{at, 0, ConnectRefused, false}, step{at, 1, ConnectRefused, false})
		}
		for _, i := range asks {
			steps[2*i+1].asks = true
		}
		return steps
	}
	const listed, moved = Evidence(100), Evidence(101)
	for name, c := range map[string]struct {
		providers int
		steps     []step
	}{
		"one of many is its own trouble": {15, []step{{0, 0, ConnectRefused, false}, {1, 0, ConnectRefused, false}, {2, 0, Draining, false}}},
		"two at once":                    {15, []step{{0, 0, ConnectRefused, false}, {500 * ms, 1, Draining, true}}},
		"two, but not at once":           {15, []step{{0, 0, ConnectRefused, false}, {4 * time.Second, 1, ConnectRefused, false}}},
		"one has answered meanwhile":     {15, []step{{0, 0, ConnectRefused, false}, {1, 0, Alive, false}, {2, 1, ConnectRefused, false}}},
		"a tenth of a large fleet": {40, []step{
			{0, 0, ConnectRefused, false},
			{1, 1, ConnectRefused, false},
			{2, 2, ConnectRefused, false},
			{3, 3, ConnectRefused, true},
		}},
		"the only one":            {1, []step{{0, 0, ConnectRefused, true}}},
		"not on the list":         {2, []step{{0, 7, ConnectRefused, false}, {1, 8, ConnectRefused, false}}},
		"not before the answer":   {15, []step{{0, 0, ConnectRefused, false}, {1, 1, ConnectRefused, true}, {5 * time.Second, 2, ConnectRefused, false}, {5 * time.Second, 3, ConnectRefused, false}}},
		"the list stands by them": {15, append([]step{{0, 0, ConnectRefused, false}, {1, 1, ConnectRefused, true}, {2, 0, listed, false}}, again(2*time.Second, time.Second, 100)...)},
		"others after that": {15, []step{
			{0, 0, ConnectRefused, false},
			{1, 1, ConnectRefused, true},
			{2, 0, listed, false},
			{5 * time.Second, 2, ConnectRefused, false},
			{5 * time.Second, 3, ConnectRefused, true},
		}},
		"others too soon after that": {15, []step{
			{0, 0, ConnectRefused, false},
			{1, 1, ConnectRefused, true},
			{2, 0, listed, false},
			{900 * ms, 2, ConnectRefused, false},
			{900 * ms, 3, ConnectRefused, false},
		}},
		"a new directory": {15, []step{
			{0, 0, ConnectRefused, false},
			{1, 1, ConnectRefused, true},
			{2, 0, moved, false},
			{5 * time.Second, 2, ConnectRefused, false},
			{5 * time.Second, 3, ConnectRefused, true},
		}},
	} {
		scheduler, start := newScheduler(t, c.providers), time.Unix(1e9, 0)
		for i, s := range c.steps {
			switch s.sign {
			case listed:
				scheduler.ReplaceListed(listedServers(c.providers))
			case moved:
				scheduler.SourceChanged()
			default:
				if got := scheduler.Observe(start.Add(s.at), fmt.Sprint("p", s.provider), s.sign); got != s.asks {
					t.Errorf("%s, step %d: asks %t", name, i, got)
				}
			}
		}
	}
}

// Where the directory stands by a list that is wrong, or all fails because the fault is on this side, it is asked ever more
// seldom: a provider that answers in between speaks against the list anew each time.
func TestRefreshesAreBounded(t *testing.T) {
	scheduler, now, asks := newScheduler(t, 15), time.Unix(1e9, 0), 0
	for range 600 { // ten minutes
		for p := range 15 {
			name := fmt.Sprint("p", p)
			scheduler.Observe(now, name, Alive)
			if scheduler.Observe(now, name, ConnectRefused) {
				asks++
				if c := scheduler.Next(now); !c.Complete {
					t.Fatalf("the next call is %+v", c)
				}
				scheduler.Responded(Poll{Complete: true}, ms)
				scheduler.ReplaceListed(listedServers(15))
			}
		}
		now = now.Add(time.Second)
	}
	if asks < 600/30 || asks > 600/15+6 {
		t.Errorf("%d asks in ten minutes", asks)
	}
}

// Evidence that comes while a call is out is not forgotten with that call's answer, nor with its failure, and doubt shortens the wait.
func TestEvidenceDuringAPoll(t *testing.T) {
	scheduler, now := newScheduler(t, 15), time.Unix(1e9, 0)
	scheduler.Next(now)
	scheduler.Observe(now, "p0", ConnectRefused)
	c := scheduler.Next(now)
	checkBetween(t, "wait with one doubt", c.Wait, 450*ms, 500*ms)
	if !scheduler.Observe(now, "p1", ConnectRefused) {
		t.Fatal("not asked")
	}
	scheduler.Responded(c, 10*ms)
	if c = scheduler.Next(now); !c.Complete {
		t.Errorf("after the answer to another call: %+v", c)
	}
	scheduler.Failed()
	scheduler.Responded(scheduler.Next(now), 10*ms)
	scheduler.ReplaceListed(listedServers(3))
	scheduler.SetListed("p0", true, 2) // a new process: what spoke against the old one is over
	scheduler.Observe(now.Add(time.Minute), "p0", ConnectRefused)
	if c = scheduler.Next(now.Add(time.Minute)); c.Complete || c.Wait > 500*ms {
		t.Errorf("after the whole list: %+v", c)
	}
}

// Evidence that comes just as a call made before it is answered by a whole list has not been heard by that.
func TestEvidenceCrossesACompleteList(t *testing.T) {
	for _, whole := range []bool{false, true} {
		scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
		if whole {
			scheduler.Failed()
		}
		c := scheduler.Next(now)
		scheduler.Observe(now, "p0", ConnectRefused)
		if c.Complete != whole || !scheduler.Observe(now, "p1", ConnectRefused) {
			t.Fatalf("%+v, not asked", c)
		}
		scheduler.Responded(c, ms)
		scheduler.ReplaceListed(listedServers(4))
		if c = scheduler.Next(now); !c.Complete {
			t.Errorf("whole %t: evidence is lost", whole)
		}
		scheduler.Responded(c, ms)
		scheduler.ReplaceListed(listedServers(4))
		if c = scheduler.Next(now); c.Complete {
			t.Errorf("whole %t: it is asked twice", whole)
		}
	}
}

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

// Until when the list is sure, by what became of the calls since its last answer: each told as its age when it was made, how
// long it may wait, and what followed. What is left of the fate of the last call is what the next one finds.
func TestListUntil(t *testing.T) {
	type fate func(*Scheduler, Poll)
	answered := func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, c.Wait+2*ms) }
	news := func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, c.Wait/2) }
	lost := func(scheduler *Scheduler, c Poll) { scheduler.Failed() }
	full := func(scheduler *Scheduler, c Poll) { scheduler.Rejected() }
	left := func(*Scheduler, Poll) {}
	for _, c := range []struct {
		name  string
		fates []fate        // of one call a second
		want  time.Duration // from the start, less what is left to chance of a wait
	}{
		{"the first call is answered", []fate{answered}, 4 * time.Second},
		{"each is answered", []fate{answered, answered, answered}, 6 * time.Second},
		{"each brings news", []fate{news, news, news}, 6 * time.Second},
		{"all are lost", []fate{answered, lost, lost, lost, lost}, 4 * time.Second},
		{"all are turned away", []fate{answered, full, full, full, full}, 4 * time.Second},
		{"an agent's are lost: there is a pause after the first", []fate{answered, lost, lost, lost, lost}, 2 * time.Second},
		{"it is left for another", []fate{answered, left}, 4 * time.Second},
		{"found again", []fate{lost, lost, answered}, 6 * time.Second},
	} {
		scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
		scheduler.settings.Pushed = strings.HasPrefix(c.name, "an agent")
		for i, f := range append(c.fates, left) {
			call := scheduler.Next(now.Add(time.Duration(i) * time.Second))
			f(scheduler, call)
		}
		checkBetween(t, c.name, scheduler.Validity().ListUntil.Sub(now), c.want-100*ms, c.want+100*ms)
	}
	set := defaults
	set.Wait, set.MinWait = 20*time.Second, 10*time.Second
	scheduler, err := New(set, 1, true)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	for i := range 2 {
		scheduler.Next(now.Add(time.Duration(i) * time.Second))
		checkBetween(t, "nothing was ever heard", scheduler.Validity().ListUntil.Sub(now), 0, 0)
		scheduler.Failed()
	}
	scheduler.Responded(Poll{Complete: true}, ms)
	scheduler.Next(now)
	checkBetween(t, "a call that may wait for long", scheduler.Validity().ListUntil.Sub(now), 20*time.Second, 22*time.Second)
	scheduler.Rejected()
	scheduler.Next(now)
	checkBetween(t, "that was turned away", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 6*time.Second)
	set.Instances = 300
	if scheduler, err = New(set, 1, false); err != nil {
		t.Fatal(err)
	}
	scheduler.Responded(scheduler.Next(now), ms)
	scheduler.SourceChanged()
	c := scheduler.Next(now.Add(time.Second))
	checkBetween(t, "the turn at another directory", c.Delay, ms, 500*ms)
	checkBetween(t, "meanwhile", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 4500*ms)
}

// On request, a change that the directory has had, and that could be reached there, counts as told 6 s later, whatever became of the
// calls: also where the last of them was held for long. Hence the list is sure for 6 s from when it was heard and no longer,
// once a call has failed, has been turned away or been given up.
func TestListUntilAfterUnansweredPolls(t *testing.T) {
	failed, full, left := (*Scheduler).Failed, (*Scheduler).Rejected, func(*Scheduler) {}
	for _, callers := range []int{1, 32, 300} {
		for name, fates := range map[string][]func(*Scheduler){
			"failed": {failed}, "turned away": {full}, "given up": {(*Scheduler).TimedOut}, "left for another": {left},
			"turned away, then given up": {full, (*Scheduler).TimedOut}, "failed and turned away": {failed, full, full},
			"given up again and again": {(*Scheduler).TimedOut, (*Scheduler).TimedOut, (*Scheduler).TimedOut},
		} {
			for _, told := range []time.Duration{0, 3 * time.Second, time.Minute} {
				set := defaults
				set.Wait, set.MinWait, set.Instances, set.EffectiveBy = 20*time.Second, 10*time.Second, callers, told
				scheduler, err := New(set, 1, false)
				if err != nil {
					t.Fatal(err)
				}
				heard := time.Unix(1e9, 0)
				scheduler.Responded(scheduler.Next(heard), ms)
				heard = scheduler.pollStart // there has been a turn before the first call
				now, most := heard.Add(ms), min(6*time.Second, cmp.Or(told, time.Minute))
				for i, fate := range fates {
					scheduler.Next(now)
					fate(scheduler)
					now = now.Add(3 * time.Second)
					scheduler.refreshWanted = name == "left for another" // only evidence makes it leave
					scheduler.Next(now)
					if sure := scheduler.Validity().ListUntil.Sub(heard); sure > most {
						t.Errorf("%s, %d callers, told after %s, after call %d: sure for %s", name, callers, told, i, sure)
					}
				}
			}
		}
	}
}

// Only who was there before the list was heard, by the time that a word may take to it, is known to be the one that it names: on
// request, another may be there under its id at any time after that, and while calls are turned away nobody says so. A list that was never heard is that of the start:
// one that leaves after it stays for its grace.
func TestProcessUntil(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range []struct {
		name  string
		fates []func(*Scheduler, Poll) // of one call a second
		want  time.Duration            // after the start
	}{
		{"never heard", nil, 750 * ms},
		{"never heard, and turned away", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Failed() },
		}, 750 * ms},
		{"heard", []func(*Scheduler, Poll){func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, ms) }}, -2 * time.Second},
		{"heard, then turned away", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, ms) },
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() },
		}, -2 * time.Second},
		{"heard again", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, ms) },
			func(scheduler *Scheduler, _ Poll) { scheduler.Failed() }, func(scheduler *Scheduler, c Poll) { scheduler.Responded(c, ms) },
		}, 0},
	} {
		set := defaults
		set.DrainGrace = 750 * ms
		scheduler, err := New(set, 1, false)
		if err != nil {
			t.Fatal(err)
		}
		for i, f := range append(c.fates, nil) {
			call := scheduler.Next(start.Add(time.Duration(i) * time.Second))
			if f != nil {
				f(scheduler, call)
			}
		}
		checkBetween(t, c.name, scheduler.Validity().ProcessUntil.Sub(start), c.want, c.want+100*ms)
	}
}

// Who leaves a watch that is in time, as a single caller in doubt does, would have been told what comes meanwhile, and at once.
func TestWatchLeftInTime(t *testing.T) {
	scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
	c := scheduler.Next(now)
	scheduler.Responded(c, c.Wait+ms)
	now = now.Add(c.Wait + ms)
	scheduler.Next(now)
	now = now.Add(100 * ms)
	if scheduler.Observe(now, "p1", ConnectRefused); !scheduler.Observe(now, "p2", ConnectRefused) {
		t.Fatal("not asked")
	}
	if c = scheduler.Next(now); !c.Complete {
		t.Errorf("in doubt: %+v", c)
	}
	checkBetween(t, "left in time", scheduler.Validity().ListUntil.Sub(now), 0, 0)
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

// What an answer proves, by the connection it came on, in ms: the list was sure until 1000.
func TestLiveness(t *testing.T) {
	at := func(ms int) (t time.Time) {
		if ms > 0 {
			t = time.Unix(1e9, int64(ms)*1e6)
		}
		return t
	}
	type answer struct {
		asked, since int
		probe        bool
	}
	for _, c := range []struct {
		what          string
		answers       []answer
		alive, probed int // 0 = never
	}{
		{"a connection from before", []answer{{5000, 999, true}}, 5000, 5000},
		{"a new one: who is there now?", []answer{{5000, 4999, true}}, 0, 0},
		{"a request tells that it is there, not that it wants more", []answer{{5000, 999, false}}, 5000, 0},
		{"a new one, while the old one was still there", []answer{{5000, 999, false}, {5300, 4900, true}}, 5300, 5300},
		{"and after that", []answer{{5000, 999, false}, {5300, 5001, true}}, 5000, 0},
		{"from new to newer", []answer{{3000, 999, true}, {4000, 2500, true}, {5000, 3500, true}}, 5000, 5000},
		{"while the list was sure", []answer{{900, 899, true}}, 900, 900},
		{"on no connection", []answer{{900, 0, true}}, 0, 0},
		{"a slow request, after a probe", []answer{{5000, 999, true}, {4000, 999, false}}, 5000, 5000},
	} {
		p := Liveness{}
		for _, a := range c.answers {
			p.Observe(at(a.asked), at(a.since), at(1000), a.probe)
		}
		if p != (Liveness{at(c.alive), at(c.probed)}) {
			t.Errorf("%s: %+v", c.what, p)
		}
		late := max(1000, c.probed) + 550 // of a first byte, with a grace of 750
		if got := (Validity{ListUntil: at(1000)}).StartBy(p, 750*ms); !got.Equal(at(late)) {
			t.Errorf("%s: a first byte until %s, want %d", c.what, got, late)
		}
	}
}

// Whatever the grace, a provider is picked early enough for a connection, and no first byte is written at its end.
func TestDrainLimits(t *testing.T) {
	for _, grace := range []time.Duration{0, 50 * ms, 100 * ms, 200 * ms, 750 * ms, 2000 * ms} {
		pick, write := DrainLimits(grace)
		if pick < 0 || write > max(0, grace-100*ms) || pick > write || grace >= 200*ms && pick < grace/4 {
			t.Errorf("%s: picked until %s, written until %s", grace, pick, write)
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
