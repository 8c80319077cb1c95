package staleness

import (
	"cmp"
	"plankrouter/internal/shutdown"
	"strings"
	"testing"
	"time"
)

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

// Whatever the grace, a provider is picked early enough for a connection, and no first byte is written at its end.
func TestDrainLimits(t *testing.T) {
	for _, grace := range []time.Duration{0, 50 * ms, 100 * ms, 200 * ms, 750 * ms, 2000 * ms} {
		pick, write := DrainLimits(grace)
		if pick < 0 || write > max(0, grace-100*ms) || pick > write || grace >= 200*ms && pick < grace/4 {
			t.Errorf("%s: picked until %s, written until %s", grace, pick, write)
		}
	}
}

// A first byte that its guard lets pass at the last moment goes out within the grace of a drain, although the process is held up between the
// two; nothing was seen of this by users, it is the same mistake as that of requests lost at the end of a process: a lead that does not bear
// the steps that follow it.
func TestDrainLimitsBearAStall(t *testing.T) {
	for grace := 300 * time.Millisecond; grace <= 5*time.Second; grace += 50 * time.Millisecond {
		pick, write := DrainLimits(grace)
		if write+shutdown.MaxStall > grace || pick > write || pick < 0 {
			t.Errorf("grace %s: picked until %s, written until %s", grace, pick, write)
		}
	}
}
