package watchpolicy

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

// ListUntil depends on how the polls since the last response ended. The test reads it during the poll that follows them.
func TestListUntil(t *testing.T) {
	type end func(*Scheduler, Poll)
	responded := func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, poll.Wait+2*ms) }
	changed := func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, poll.Wait/2) }
	failed := func(scheduler *Scheduler, _ Poll) { scheduler.Failed() }
	rejected := func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }
	abandoned := func(*Scheduler, Poll) {}
	for _, c := range []struct {
		name string
		ends []end         // how successive polls end; one poll is made per second
		want time.Duration // counted from the first poll, and without the random shortening of waits
	}{
		{"response to the first", []end{responded}, 4 * time.Second},
		{"response to each", []end{responded, responded, responded}, 6 * time.Second},
		{"change in each response", []end{changed, changed, changed}, 6 * time.Second},
		{"all fail", []end{responded, failed, failed, failed, failed}, 4 * time.Second},
		{"all are rejected", []end{responded, rejected, rejected, rejected, rejected}, 4 * time.Second},
		{"an agent's polls fail: a delay follows the first", []end{responded, failed, failed, failed, failed}, 2 * time.Second},
		{"abandoned for another", []end{responded, abandoned}, 4 * time.Second},
		{"response after failures", []end{failed, failed, responded}, 6 * time.Second},
	} {
		scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
		scheduler.settings.Pushed = strings.HasPrefix(c.name, "an agent")
		for i, end := range append(c.ends, abandoned) {
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
		checkBetween(t, "never a response", scheduler.Validity().ListUntil.Sub(now), 0, 0)
		scheduler.Failed()
	}
	scheduler.Responded(Poll{Complete: true}, ms)
	scheduler.Next(now)
	checkBetween(t, "a poll with a long wait", scheduler.Validity().ListUntil.Sub(now), 20*time.Second, 22*time.Second)
	scheduler.Rejected()
	scheduler.Next(now)
	checkBetween(t, "after its rejection", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 6*time.Second)
	settings.Instances = 300
	if scheduler, err = New(settings, 1, false); err != nil {
		t.Fatal(err)
	}
	scheduler.Responded(scheduler.Next(now), ms)
	scheduler.SourceChanged()
	poll := scheduler.Next(now.Add(time.Second))
	checkBetween(t, "delay at another source", poll.Delay, ms, 500*ms)
	checkBetween(t, "list during that delay", scheduler.Validity().ListUntil.Sub(now), 4*time.Second, 4500*ms)
}

// A change takes effect 6 s after discovery has it, however the polls for it ended, even if discovery held the last of them
// for long. Once a poll has failed, was rejected, timed out or was abandoned, the list is therefore fresh for at most 6 s
// from its response.
func TestListUntilAfterPollsWithoutResponse(t *testing.T) {
	failed, rejected, abandoned := (*Scheduler).Failed, (*Scheduler).Rejected, func(*Scheduler) {}
	for _, instances := range []int{1, 32, 300} {
		for name, ends := range map[string][]func(*Scheduler){
			"failed": {failed}, "rejected": {rejected}, "timed out": {(*Scheduler).TimedOut}, "abandoned for another": {abandoned},
			"rejected, then timed out": {rejected, (*Scheduler).TimedOut}, "failed and rejected": {failed, rejected, rejected},
			"timed out repeatedly": {(*Scheduler).TimedOut, (*Scheduler).TimedOut, (*Scheduler).TimedOut},
		} {
			for _, effectiveAfter := range []time.Duration{0, 3 * time.Second, time.Minute} {
				settings := defaults
				settings.Wait = 20 * time.Second
				settings.MinWait = 10 * time.Second
				settings.Instances = instances
				settings.EffectiveAfter = effectiveAfter
				scheduler, err := New(settings, 1, false)
				if err != nil {
					t.Fatal(err)
				}
				respondedAt := time.Unix(1e9, 0)
				scheduler.Responded(scheduler.Next(respondedAt), ms)
				respondedAt = scheduler.pollStart // the poll is sent after its delay
				now, limit := respondedAt.Add(ms), min(6*time.Second, cmp.Or(effectiveAfter, time.Minute))
				for i, end := range ends {
					scheduler.Next(now)
					end(scheduler)
					now = now.Add(3 * time.Second)
					scheduler.refreshWanted = name == "abandoned for another" // otherwise only evidence sets this
					scheduler.Next(now)
					if fresh := scheduler.Validity().ListUntil.Sub(respondedAt); fresh > limit {
						t.Errorf("%s, %d instances, effective after %s, after poll %d: fresh for %s", name, instances, effectiveAfter, i, fresh)
					}
				}
			}
		}
	}
}

// Only a process that was running maxPropagationDelay before the list was sent is known to be the one that the list names. At
// any later time another process may have started under the same id, which this instance does not learn while its polls are
// rejected. Before the first response the list is that of the start, and a server that begins to drain after the start keeps
// running for its drain grace.
func TestProcessUntil(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range []struct {
		name string
		ends []func(*Scheduler, Poll) // how successive polls end; one poll is made per second
		want time.Duration            // counted from the first poll
	}{
		{"never a response", nil, 750 * ms},
		{"never a response, and rejected", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Failed() },
		}, 750 * ms},
		{"response", []func(*Scheduler, Poll){func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) }}, -2 * time.Second},
		{"response, then rejected", []func(*Scheduler, Poll){
			func(scheduler *Scheduler, poll Poll) { scheduler.Responded(poll, ms) },
			func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() }, func(scheduler *Scheduler, _ Poll) { scheduler.Rejected() },
		}, -2 * time.Second},
		{"second response", []func(*Scheduler, Poll){
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

// A watch that is not overdue would have delivered changes at once. A list whose watch is abandoned for a refresh, as a
// single instance does, is therefore no longer fresh.
func TestWatchAbandonedForRefresh(t *testing.T) {
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
	checkBetween(t, "watch abandoned", scheduler.Validity().ListUntil.Sub(now), 0, 0)
}
