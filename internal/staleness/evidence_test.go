package staleness

import (
	"fmt"
	"testing"
	"time"
)

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
