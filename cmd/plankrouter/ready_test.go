package main

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/watchpolicy"
)

// scheduledPoll is the next poll of a restarted process.
type scheduledPoll struct {
	at      time.Duration
	process int
	poll    watchpolicy.Poll
}

type pollQueue []scheduledPoll

func (t pollQueue) Len() int           { return len(t) }
func (t pollQueue) Less(i, j int) bool { return t[i].at < t[j].at }
func (t pollQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *pollQueue) Push(x any)        { *t = append(*t, x.(scheduledPoll)) }
func (t *pollQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// firstLists simulates processes that restart within a second without an endpoint list. The discovery service makes perSecond
// complete lists a second, and rejects a poll that would have to wait in its queue for longer than maxWait. firstLists
// returns, sorted, the times at which the first nine in ten processes get their lists. If that takes more than a minute, it
// returns the times up to then, followed by one beyond a minute.
func firstLists(t *testing.T, processes, perSecond int, maxWait time.Duration, seed uint64) (listedAt []time.Duration) {
	set := watchpolicy.DefaultSettings()
	set.Instances = processes
	schedulers := make([]*watchpolicy.Scheduler, processes)
	queue := &pollQueue{}
	next := func(process int, now time.Duration) {
		poll := schedulers[process].Next(time.Unix(1e9, 0).Add(now))
		heap.Push(queue, scheduledPoll{now + poll.Delay, process, poll})
	}
	for i := range schedulers {
		scheduler, err := watchpolicy.New(set, seed<<32+uint64(i), true)
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i] = scheduler
		next(i, time.Duration(i)*time.Second/time.Duration(processes))
	}
	listTime, idleFrom := time.Second/time.Duration(perSecond), time.Duration(0)
	for len(listedAt) < processes*9/10 {
		due := heap.Pop(queue).(scheduledPoll)
		if due.at > time.Minute {
			return append(listedAt, due.at)
		}
		scheduler, startsAt := schedulers[due.process], max(idleFrom, due.at)
		switch {
		case startsAt-due.at > maxWait:
			scheduler.Rejected()
			next(due.process, due.at)
		case startsAt+listTime-due.at > due.poll.Timeout: // the poll times out, and the work for it is lost
			idleFrom = startsAt + listTime
			scheduler.Failed()
			next(due.process, due.at+due.poll.Timeout)
		default:
			idleFrom = startsAt + listTime
			listedAt = append(listedAt, idleFrom)
		}
	}
	slices.Sort(listedAt)
	return listedAt
}

// Processes restart together without an endpoint list, and discovery makes complete lists for at least a third of them in a
// second, but for no fewer than 20. Nine in ten are ready within 10 s, with or without a queue for polls.
func TestInstancesRestartedTogetherAreReady(t *testing.T) {
	const within = 10 * time.Second
	for _, c := range []struct{ processes, perSecond int }{{20, 20}, {300, 100}, {300, 1000}, {6000, 2000}, {6000, 5000}} {
		for _, maxWait := range []time.Duration{0, 2 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d, %d a second, queue of %s", c.processes, c.perSecond, maxWait), func(t *testing.T) {
				for seed := range uint64(8) {
					listedAt := firstLists(t, c.processes, c.perSecond, maxWait, seed)
					last := listedAt[len(listedAt)-1]
					t.Logf("half in %.2f s, nine in ten in %.2f s", listedAt[len(listedAt)*5/9].Seconds(), last.Seconds())
					if last > within {
						t.Errorf("seed %d: nine in ten in %s", seed, last)
					}
				}
			})
		}
	}
}

// A process whose configuration has an endpoint list is ready at once, even if discovery is unreachable.
func TestReadyWithoutDiscovery(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet) {
		if err := fleet.Discovery.SetSilent(true); err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		s := start(t, n, fleet.Discovery, func(c *fakes.SidecarConfig) { c.Instances = 6000 }) // returns once the program is ready
		if took := time.Since(startedAt); took > 100*time.Millisecond {
			t.Errorf("ready after %s", took)
		}
		s.stop()
	})
}
