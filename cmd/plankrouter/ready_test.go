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

// scheduledPoll is a restarted process's next call.
type scheduledPoll struct {
	at      time.Duration
	process int
	call    watchpolicy.Poll
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

// firstLists plays so many processes that restart within a second with no list at all, at a discovery service that makes perSecond whole
// lists and lets calls wait in turn for queued before it turns them away, and returns when each has its list, sorted.
func firstLists(t *testing.T, processes, perSecond int, queued time.Duration, seed uint64) (listedAt []time.Duration) {
	set := watchpolicy.DefaultSettings()
	set.Instances = processes
	schedulers := make([]*watchpolicy.Scheduler, processes)
	all := &pollQueue{}
	next := func(who int, now time.Duration) {
		c := schedulers[who].Next(time.Unix(1e9, 0).Add(now))
		heap.Push(all, scheduledPoll{now + c.Delay, who, c})
	}
	for i := range schedulers {
		k, err := watchpolicy.New(set, seed<<32+uint64(i), true)
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i] = k
		next(i, time.Duration(i)*time.Second/time.Duration(processes))
	}
	each, free := time.Second/time.Duration(perSecond), time.Duration(0)
	for len(listedAt) < processes*9/10 {
		one := heap.Pop(all).(scheduledPoll)
		if one.at > time.Minute {
			return append(listedAt, one.at)
		}
		k, begins := schedulers[one.process], max(free, one.at)
		switch {
		case begins-one.at > queued:
			k.Rejected()
			next(one.process, one.at)
		case begins+each-one.at > one.call.Timeout: // discovery answers nobody
			free = begins + each
			k.Failed()
			next(one.process, one.at+one.call.Timeout)
		default:
			free = begins + each
			listedAt = append(listedAt, free)
		}
	}
	slices.Sort(listedAt)
	return listedAt
}

// Nine in ten processes that restart together with no list of their own are ready within 10 s where discovery makes 20 whole
// lists a second and for a third of them, whether or not it lets calls wait in turn.
func TestRestartedTogetherAreReady(t *testing.T) {
	const within = 10 * time.Second
	for _, c := range []struct{ processes, perSecond int }{{20, 20}, {300, 100}, {300, 1000}, {6000, 2000}, {6000, 5000}} {
		for _, queued := range []time.Duration{0, 2 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d, %d a second, queue of %s", c.processes, c.perSecond, queued), func(t *testing.T) {
				for seed := range uint64(8) {
					heard := firstLists(t, c.processes, c.perSecond, queued, seed)
					last := heard[len(heard)-1]
					t.Logf("half in %.2f s, nine in ten in %.2f s", heard[len(heard)*5/9].Seconds(), last.Seconds())
					if last > within {
						t.Errorf("seed %d: nine in ten in %s", seed, last)
					}
				}
			})
		}
	}
}

// A process whose configuration has a list does not wait for discovery, whatever that does: it is ready at once.
func TestReadyWithoutDiscovery(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet) {
		if err := fleet.Discovery.SetSilent(true); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		s := start(t, n, fleet.Discovery, func(c *fakes.SidecarConfig) { c.Instances = 6000 }) // returns once it is ready
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("ready after %s", took)
		}
		s.stop()
	})
}
