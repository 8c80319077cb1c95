package watchpolicy

import (
	"fmt"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

const ms = time.Millisecond

var defaults = DefaultSettings()

// newScheduler returns the scheduler of a single instance, with a list of the given number of servers.
func newScheduler(t *testing.T, servers int) *Scheduler {
	t.Helper()
	scheduler, err := New(defaults, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.ReplaceListed(listedServers(servers))
	return scheduler
}

// newSchedulerOfMany returns the scheduler of one of the given number of instances.
func newSchedulerOfMany(t *testing.T, instances int, seed uint64) *Scheduler {
	t.Helper()
	settings := defaults
	settings.Instances = instances
	scheduler, err := New(settings, seed, false)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.ReplaceListed(listedServers(15))
	return scheduler
}

func listedServers(n int) map[string]float64 {
	servers := map[string]float64{}
	for i := range n {
		servers[fmt.Sprint("p", i)] = 1
	}
	return servers
}

func checkBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %s, want %s to %s", what, got, low, high)
	}
}

// A poll has a bounded wait, and its timeout is learned from the lateness of earlier responses.
func TestTimeoutIsLearned(t *testing.T) {
	scheduler, now := newScheduler(t, 0), time.Unix(1e9, 0)
	poll := scheduler.Next(now)
	checkBetween(t, "first wait", poll.Wait, 900*ms, time.Second)
	checkBetween(t, "timeout before any sample", poll.Timeout-poll.Wait, time.Second, time.Second)
	for range 50 {
		poll = scheduler.Next(now)
		scheduler.Responded(poll, poll.Wait+2*ms)
	}
	poll = scheduler.Next(now)
	checkBetween(t, "timeout with a fast source", poll.Timeout-poll.Wait, 250*ms, 250*ms)
	scheduler.Responded(poll, 10*ms) // a change: no sample of the lateness
	for range 50 {
		poll = scheduler.Next(now)
		scheduler.Responded(poll, poll.Wait+400*ms)
	}
	poll = scheduler.Next(now)
	checkBetween(t, "timeout with a slow source", poll.Timeout-poll.Wait, 400*ms, 500*ms)
	if poll.Complete || poll.Delay != 0 {
		t.Errorf("after a response: %+v", poll)
	}
}

// A source that is down is polled for the complete list with an exponential backoff, and with timeouts that grow to the maximum.
func TestFailures(t *testing.T) {
	scheduler, now := newScheduler(t, 0), time.Unix(1e9, 0)
	scheduler.Responded(Poll{Complete: true}, ms)
	for i, limit := range []time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, 2 * time.Second, 2 * time.Second} {
		scheduler.Failed()
		poll := scheduler.Next(now)
		checkBetween(t, fmt.Sprint("delay ", i), poll.Delay, limit/2, limit)
		checkBetween(t, fmt.Sprint("timeout ", i), poll.Timeout, min(time.Second, 250*ms<<i), time.Second)
		if !poll.Complete || poll.Wait != 0 {
			t.Errorf("after a failure: %+v", poll)
		}
	}
	scheduler.Responded(Poll{Complete: true}, ms)
	if poll := scheduler.Next(now); poll.Complete || poll.Delay != 0 {
		t.Errorf("after the response: %+v", poll)
	}
	scheduler.SourceChanged()
	if poll := scheduler.Next(now); !poll.Complete || poll.Delay != 0 || poll.Timeout != time.Second {
		t.Errorf("at another source: %+v", poll)
	}
}

// The load of all instances on a source stays bounded when all of them start or see the same evidence together and the source
// rejects them. The test bounds the number of polls in any 100 ms of the first 30 s, and in the last second of them.
func TestPollRateOfAllInstances(t *testing.T) {
	for _, c := range []struct {
		instances                 int
		maxPolls, last, refreshes int // refreshes: in any second, caused by evidence while no watch is overdue
	}{{1, 2, 1, 1}, {4, 8, 4, 0}, {32, 20, 15, 0}, {80, 32, 18, 0}, {300, 110, 10, 0}, {2000, 750, 40, 0}, {5000, 1800, 90, 0}} {
		polls, refreshes := map[int]int{}, map[int]int{}
		for i := range c.instances {
			scheduler, at := newSchedulerOfMany(t, c.instances, uint64(i)), time.Duration(0)
			for at < 30*time.Second {
				next := scheduler.Next(time.Unix(0, 0).Add(at))
				if next.Complete {
					t.Fatalf("instance %d requests the complete list", i)
				}
				at += next.Delay
				polls[int(at/(100*ms))]++
				scheduler.Rejected()
			}
			scheduler, at = newSchedulerOfMany(t, c.instances, uint64(i)), 0
			for end := time.Duration(0); at < 30*time.Second; at += 50 * ms {
				now := time.Unix(1e9, 0).Add(at)
				if at >= end {
					next := scheduler.Next(now)
					scheduler.Responded(next, next.Wait)
					end = at + next.Delay + next.Wait
				}
				if first := scheduler.Observe(now, "p1", staleness.ConnectRefused); scheduler.Observe(now, "p2", staleness.ConnectRefused) || first {
					refreshes[int(at/time.Second)]++
					scheduler.Rejected()
					scheduler.Responded(scheduler.Next(now), 0)
					break
				}
			}
		}
		maxPolls, last, maxRefreshes := 0, 0, 0
		for at, n := range polls {
			maxPolls = max(maxPolls, n)
			if at >= 290 && at < 300 {
				last += n
			}
		}
		for _, n := range refreshes {
			maxRefreshes = max(maxRefreshes, n)
		}
		if maxPolls > c.maxPolls || last > c.last || maxRefreshes != c.refreshes {
			t.Errorf("%d instances: %d polls in 100 ms, %d in the last second, %d complete lists in one second; want at most %d, %d, and %d",
				c.instances, maxPolls, last, maxRefreshes, c.maxPolls, c.last, c.refreshes)
		}
	}
}

// Where polls queue for two seconds, an instance that shares its source waits in the queue, even if it has learned a short
// timeout. While polls are rejected, no evidence makes it abandon its place.
func TestSourceOverloaded(t *testing.T) {
	scheduler, now := newSchedulerOfMany(t, 80, 1), time.Unix(1e9, 0)
	if poll := scheduler.Next(now); poll.Complete || poll.Timeout-poll.Wait != 1900*ms || poll.Delay > 800*ms {
		t.Errorf("the first poll: %+v", poll)
	}
	for range 50 {
		poll := scheduler.Next(now)
		scheduler.Responded(poll, poll.Wait+2*ms)
	}
	if poll := scheduler.Next(now); poll.Timeout > 1500*ms {
		t.Errorf("a continued watch: %+v", poll)
	}
	scheduler.Rejected()
	if poll := scheduler.Next(now); poll.Complete || poll.Timeout-poll.Wait != 1900*ms || poll.Delay < 250*ms || poll.Delay > 500*ms {
		t.Errorf("rejected: %+v", poll)
	}
	now = now.Add(time.Minute) // overdue
	if scheduler.Observe(now, "p1", staleness.ConnectRefused); scheduler.Observe(now, "p2", staleness.ConnectRefused) {
		t.Error("evidence has caused a refresh at an overloaded source")
	}
	scheduler.Responded(Poll{Complete: true}, ms) // served at once, it proves no capacity for a watch
	if poll := scheduler.Next(now); poll.Timeout-poll.Wait != 1900*ms {
		t.Errorf("after a complete list: %+v", poll)
	}
	poll := scheduler.Next(now)
	scheduler.Responded(poll, poll.Wait+2*ms)
	now = now.Add(time.Minute)
	if scheduler.Observe(now, "p1", staleness.ConnectRefused); !scheduler.Observe(now, "p2", staleness.ConnectRefused) {
		t.Error("evidence causes no refresh after the response to a watch")
	}
	if poll := scheduler.Next(now); !poll.Complete || poll.Delay > 800*ms || poll.Timeout != 4*time.Second {
		t.Errorf("with contradictions: %+v", poll)
	}
	scheduler.Rejected()
	if poll := scheduler.Next(now); poll.Complete {
		t.Errorf("a refresh that is rejected: %+v", poll)
	}
	scheduler.Failed()
	if scheduler.Rejected(); !scheduler.Next(now).Complete {
		t.Error("after a failure and a rejection: no request for the complete list")
	}
}

// A poll that times out after others were rejected is assumed to have been in the source's queue, and the next one requests
// changes as before. Otherwise the process that sent the list may be gone, and the next poll requests the complete list.
func TestTimedOut(t *testing.T) {
	scheduler, now := newSchedulerOfMany(t, 32, 1), time.Unix(1e9, 0)
	scheduler.Next(now)
	scheduler.Rejected()
	for range 3 {
		if poll := scheduler.Next(now); poll.Complete || poll.Timeout-poll.Wait < 1900*ms {
			t.Errorf("in the queue: %+v", poll)
		}
		scheduler.TimedOut()
	}
	scheduler.Responded(scheduler.Next(now), ms)
	scheduler.Next(now)
	if scheduler.TimedOut(); !scheduler.Next(now).Complete {
		t.Error("a silent watch is continued")
	}
	scheduler.Rejected()
	scheduler.TimedOut()
	if poll := scheduler.Next(now); !poll.Complete || poll.Timeout < 2*time.Second {
		t.Errorf("after a silent watch and a rejection: no request for the complete list, or a timeout before its slot: %+v", poll)
	}
	scheduler, err := New(PushedSettings(750*ms), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Next(now)
	scheduler.Rejected()
	if scheduler.TimedOut(); !scheduler.Next(now).Complete {
		t.Error("a timeout at an agent counts as queueing")
	}
}
