package watchpolicy

import (
	"fmt"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

// Each step is evidence or a response of discovery; refreshes is whether the step requests the complete list.
func TestEvidence(t *testing.T) {
	type step struct {
		at        time.Duration
		server    int
		evidence  staleness.Evidence
		refreshes bool
	}
	repeat := func(from, every time.Duration, n int, refreshes ...int) (steps []step) { // two servers refuse connections repeatedly
		for i := range n {
			at := from + time.Duration(i)*every
			steps = append(steps, step{at, 0, staleness.ConnectRefused, false}, step{at, 1, staleness.ConnectRefused, false})
		}
		for _, i := range refreshes {
			steps[2*i+1].refreshes = true
		}
		return steps
	}
	const listed, sourceChanged = staleness.Evidence(100), staleness.Evidence(101)
	for name, c := range map[string]struct {
		servers int
		steps   []step
	}{
		"one of many":                 {15, []step{{0, 0, staleness.ConnectRefused, false}, {1, 0, staleness.ConnectRefused, false}, {2, 0, staleness.Draining, false}}},
		"two at once":                 {15, []step{{0, 0, staleness.ConnectRefused, false}, {500 * ms, 1, staleness.Draining, true}}},
		"two, but not at once":        {15, []step{{0, 0, staleness.ConnectRefused, false}, {4 * time.Second, 1, staleness.ConnectRefused, false}}},
		"one has responded meanwhile": {15, []step{{0, 0, staleness.ConnectRefused, false}, {1, 0, staleness.Alive, false}, {2, 1, staleness.ConnectRefused, false}}},
		"a tenth of 40 servers": {40, []step{
			{0, 0, staleness.ConnectRefused, false},
			{1, 1, staleness.ConnectRefused, false},
			{2, 2, staleness.ConnectRefused, false},
			{3, 3, staleness.ConnectRefused, true},
		}},
		"the only one":            {1, []step{{0, 0, staleness.ConnectRefused, true}}},
		"not on the list":         {2, []step{{0, 7, staleness.ConnectRefused, false}, {1, 8, staleness.ConnectRefused, false}}},
		"not before the response": {15, []step{{0, 0, staleness.ConnectRefused, false}, {1, 1, staleness.ConnectRefused, true}, {5 * time.Second, 2, staleness.ConnectRefused, false}, {5 * time.Second, 3, staleness.ConnectRefused, false}}},
		"the list confirms them":  {15, append([]step{{0, 0, staleness.ConnectRefused, false}, {1, 1, staleness.ConnectRefused, true}, {2, 0, listed, false}}, repeat(2*time.Second, time.Second, 100)...)},
		"others after the interval": {15, []step{
			{0, 0, staleness.ConnectRefused, false},
			{1, 1, staleness.ConnectRefused, true},
			{2, 0, listed, false},
			{5 * time.Second, 2, staleness.ConnectRefused, false},
			{5 * time.Second, 3, staleness.ConnectRefused, true},
		}},
		"others within the interval": {15, []step{
			{0, 0, staleness.ConnectRefused, false},
			{1, 1, staleness.ConnectRefused, true},
			{2, 0, listed, false},
			{900 * ms, 2, staleness.ConnectRefused, false},
			{900 * ms, 3, staleness.ConnectRefused, false},
		}},
		"a new source": {15, []step{
			{0, 0, staleness.ConnectRefused, false},
			{1, 1, staleness.ConnectRefused, true},
			{2, 0, sourceChanged, false},
			{5 * time.Second, 2, staleness.ConnectRefused, false},
			{5 * time.Second, 3, staleness.ConnectRefused, true},
		}},
	} {
		scheduler, start := newScheduler(t, c.servers), time.Unix(1e9, 0)
		for i, step := range c.steps {
			switch step.evidence {
			case listed:
				scheduler.ReplaceListed(listedServers(c.servers))
			case sourceChanged:
				scheduler.SourceChanged()
			default:
				if got := scheduler.Observe(start.Add(step.at), fmt.Sprint("p", step.server), step.evidence); got != step.refreshes {
					t.Errorf("%s, step %d: refreshes %t", name, i, got)
				}
			}
		}
	}
}

// While discovery confirms its list, refreshes become rarer, whether the list is wrong or the fault is on this machine, although
// a server that has responded in between counts as a new contradiction each time.
func TestRefreshesAreBounded(t *testing.T) {
	scheduler := newScheduler(t, 15)
	now := time.Unix(1e9, 0)
	refreshes := 0
	for range 600 { // ten minutes
		for p := range 15 {
			name := fmt.Sprint("p", p)
			scheduler.Observe(now, name, staleness.Alive)
			if scheduler.Observe(now, name, staleness.ConnectRefused) {
				refreshes++
				if poll := scheduler.Next(now); !poll.Complete {
					t.Fatalf("the next poll is %+v", poll)
				}
				scheduler.Responded(Poll{Complete: true}, ms)
				scheduler.ReplaceListed(listedServers(15))
			}
		}
		now = now.Add(time.Second)
	}
	if refreshes < 600/30 || refreshes > 600/15+6 {
		t.Errorf("%d refreshes in ten minutes", refreshes)
	}
}

// Evidence received during a poll stays valid after the response to that poll and after its failure, and contradictions
// shorten the wait.
func TestEvidenceDuringAPoll(t *testing.T) {
	scheduler, now := newScheduler(t, 15), time.Unix(1e9, 0)
	scheduler.Next(now)
	scheduler.Observe(now, "p0", staleness.ConnectRefused)
	poll := scheduler.Next(now)
	checkBetween(t, "wait with one contradiction", poll.Wait, 450*ms, 500*ms)
	if !scheduler.Observe(now, "p1", staleness.ConnectRefused) {
		t.Fatal("no refresh")
	}
	scheduler.Responded(poll, 10*ms)
	if poll = scheduler.Next(now); !poll.Complete {
		t.Errorf("after the response to another poll: %+v", poll)
	}
	scheduler.Failed()
	scheduler.Responded(scheduler.Next(now), 10*ms)
	scheduler.ReplaceListed(listedServers(3))
	scheduler.SetListed("p0", true, 2) // a new process: evidence about the old one is dropped
	scheduler.Observe(now.Add(time.Minute), "p0", staleness.ConnectRefused)
	if poll = scheduler.Next(now.Add(time.Minute)); poll.Complete || poll.Wait > 500*ms {
		t.Errorf("after the complete list: %+v", poll)
	}
}

// A complete list that is the response to an earlier poll does not count as the refresh that evidence during that poll has
// requested.
func TestEvidenceDuringCompleteList(t *testing.T) {
	for _, complete := range []bool{false, true} {
		scheduler, now := newScheduler(t, 4), time.Unix(1e9, 0)
		if complete {
			scheduler.Failed()
		}
		poll := scheduler.Next(now)
		scheduler.Observe(now, "p0", staleness.ConnectRefused)
		if poll.Complete != complete || !scheduler.Observe(now, "p1", staleness.ConnectRefused) {
			t.Fatalf("%+v, no refresh", poll)
		}
		scheduler.Responded(poll, ms)
		scheduler.ReplaceListed(listedServers(4))
		if poll = scheduler.Next(now); !poll.Complete {
			t.Errorf("complete %t: no refresh after the response", complete)
		}
		scheduler.Responded(poll, ms)
		scheduler.ReplaceListed(listedServers(4))
		if poll = scheduler.Next(now); poll.Complete {
			t.Errorf("complete %t: refreshed twice", complete)
		}
	}
}
