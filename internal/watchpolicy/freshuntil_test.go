package watchpolicy

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

// Until when the list is fresh, by how the polls since its last answer ended. It is read after the poll that follows the last of them.
func TestListUntil(t *testing.T) {
	type end func(*Scheduler, Poll)
	answered := func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, poll.Wait+2*ms) }
	changed := func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, poll.Wait/2) }
	lost := func(scheduler *Scheduler, _ Poll) { scheduler.Failed() }
	rejected := func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }
	left := func(*Scheduler, Poll) {}
	for _, c := range []struct {
		name string
		ends []end         // of one poll a second
		want time.Duration // from the start, less the random part of a wait
	}{
		{"the first is answered", []end{answered}, 4 * time.Second},
		{"each is answered", []end{answered, answered, answered}, 6 * time.Second},
		{"each brings a change", []end{changed, changed, changed}, 6 * time.Second},
		{"all are lost", []end{answered, lost, lost, lost, lost}, 4 * time.Second},
		{"all are rejected", []end{answered, rejected, rejected, rejected, rejected}, 4 * time.Second},
		{"an agent's are lost: there is a pause after the first", []end{answered, lost, lost, lost, lost}, 2 * time.Second},
		{"it is left for another", []end{answered, left}, 4 * time.Second},
		{"found again", []end{lost, lost, answered}, 6 * time.Second},
	} {
		scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
		scheduler.settings.Pushed = strings.HasPrefix(c.name, "an agent")
		for i, end := range append(c.ends, left) {
			poll := scheduler.Next(now.Add(time.Duration(i) * time.Second))
			end(scheduler, poll)
		}
		checkBetween(t, c.name, scheduler.Validity().ListUntil.Sub(now), c.want-100*ms, c.want+100*ms)
	}
	settings := defaults
	settings.Wait = 20 * time.Second
	settings.MinWait = 10 * time.Second
	scheduler, err := New(settings, 1, true)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	for i := range 2 {
		scheduler.Next(now.Add(time.Duration(i) * time.Second))
		checkBetween(t, "nothing was ever answered", scheduler.Validity().ListUntil.Sub(now), 0, 0)
		scheduler.Failed()
	}
	scheduler.Responded(Poll{Complete: true}, ms)
	scheduler.Next(now)
	checkBetween(t, "a poll that may wait for long", scheduler.Validity().ListUntil.Sub(now), 20*time.Second, 22*time.Second)
	scheduler.Rejected()
	scheduler.Next(now)
	checkBetween(t, "that was rejected", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 6*time.Second)
	settings.Instances = 300
	if scheduler, err = New(settings, 1, false); err != nil {
		t.Fatal(err)
	}
	scheduler.Responded(scheduler.Next(now), ms)
	scheduler.SourceChanged()
	poll := scheduler.Next(now.Add(time.Second))
	checkBetween(t, "the slot at another source", poll.Delay, ms, 500*ms)
	checkBetween(t, "meanwhile", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 4500*ms)
}

// A change that discovery has, and that could be polled for, takes effect 6 s later, however the polls ended: also where the last of them
// was held for long. Hence the list is fresh for 6 s from its answer on and no longer, once a poll has failed, has been rejected or been
// given up.
func TestListUntilAfterUnansweredPolls(t *testing.T) {
	failed, rejected, left := (*Scheduler).Failed, (*Scheduler).Rejected, func(*Scheduler) {}
	for _, instances := range []int{1, 32, 300} {
		for name, ends := range map[string][]func(*Scheduler){
			"failed": {failed}, "rejected": {rejected}, "given up": {(*Scheduler).TimedOut}, "left for another": {left},
			"rejected, then given up": {rejected, (*Scheduler).TimedOut}, "failed and rejected": {failed, rejected, rejected},
			"given up again and again": {(*Scheduler).TimedOut, (*Scheduler).TimedOut, (*Scheduler).TimedOut},
		} {
			for _, effectiveBy := range []time.Duration{0, 3 * time.Second, time.Minute} {
				settings := defaults
				settings.Wait = 20 * time.Second
				settings.MinWait = 10 * time.Second
				settings.Instances = instances
				settings.EffectiveBy = effectiveBy
				scheduler, err := New(settings, 1, false)
				if err != nil {
					t.Fatal(err)
				}
				answeredAt := time.Unix(1e9, 0)
				scheduler.Responded(scheduler.Next(answeredAt), ms)
				answeredAt = scheduler.pollStart // after its delay
				now, limit := answeredAt.Add(ms), min(6*time.Second, cmp.Or(effectiveBy, time.Minute))
				for i, end := range ends {
					scheduler.Next(now)
					end(scheduler)
					now = now.Add(3 * time.Second)
					scheduler.refreshWanted = name == "left for another" // only evidence makes it leave
					scheduler.Next(now)
					if fresh := scheduler.Validity().ListUntil.Sub(answeredAt); fresh > limit {
						t.Errorf("%s, %d instances, effective by %s, after poll %d: fresh for %s", name, instances, effectiveBy, i, fresh)
					}
				}
			}
		}
	}
}

// Only a process that was there before the list was sent, by the time that a change may take to it, is known to be the one that it names:
// another may be there under its id at any time after that, and while polls are rejected nobody says so. A list that was never sent is
// that of the start: a server that leaves after it remains for its grace.
func TestProcessUntil(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range []struct {
		name string
		ends []func(*Scheduler, Poll) // of one poll a second
		want time.Duration            // after the start
	}{
		{"never answered", nil, 750 * ms},
		{"never answered, and rejected", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Failed() },
		}, 750 * ms},
		{"answered", []func(*Scheduler, Poll){func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) }}, -2 * time.Second},
		{"answered, then rejected", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) },
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() },
		}, -2 * time.Second},
		{"answered again", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) },
			func(scheduler *Scheduler, _ Poll) { scheduler.Failed() }, func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) },
		}, 0},
	} {
		settings := defaults
		settings.DrainGrace = 750 * ms
		scheduler, err := New(settings, 1, false)
		if err != nil {
			t.Fatal(err)
		}
		for i, end := range append(c.ends, nil) {
			poll := scheduler.Next(start.Add(time.Duration(i) * time.Second))
			if end != nil {
				end(scheduler, poll)
			}
		}
		checkBetween(t, c.name, scheduler.Validity().ProcessUntil.Sub(start), c.want, c.want+100*ms)
	}
}

// An instance that leaves a watch that is in time, as a single one does for contradictions, would have got what changes meanwhile, and at
// once.
func TestWatchLeftInTime(t *testing.T) {
	scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
	poll := scheduler.Next(now)
	scheduler.Responded(poll, poll.Wait+ms)
	now = now.Add(poll.Wait + ms)
	scheduler.Next(now)
	now = now.Add(100 * ms)
	if scheduler.Observe(now, "p1", staleness.ConnectRefused); !scheduler.Observe(now, "p2", staleness.ConnectRefused) {
		t.Fatal("no refresh")
	}
	if poll = scheduler.Next(now); !poll.Complete {
		t.Errorf("with contradictions: %+v", poll)
	}
	checkBetween(t, "left in time", scheduler.Validity().ListUntil.Sub(now), 0, 0)
}
