package watchpolicy

import (
	"fmt"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

// queueingSource is a source that serves a new watch or a complete list in one slot, has a queue of so long, and rejects what comes beyond.
// A watch that goes on costs it nothing, and there are no changes.
type queueingSource struct {
	slotTime, maxQueue time.Duration
	freeAt             time.Time

	rejected, completeLists, timedOut int // those that timed out use up their slots all the same
}

// queuedInstance is one of the instances that poll it.
type queuedInstance struct {
	*Scheduler
	poll        Poll
	sentAt      time.Time // of the poll; zero = it is not sent yet
	nextStep    time.Time // when the poll is made, or ends
	finish      func()
	watching    bool // the next poll continues a watch
	firstAnswer time.Time
	lastAnswer  time.Time
	maxGap      time.Duration
}

// decide has the instance decide on its next poll.
func (i *queuedInstance) decide(now time.Time) {
	i.poll = i.Next(now)
	i.sentAt = time.Time{}
	i.nextStep = now.Add(i.poll.Delay)
}

// step makes the poll, or ends it.
func (s *queueingSource) step(instance *queuedInstance) {
	now := instance.nextStep
	if !instance.sentAt.IsZero() {
		instance.finish()
		instance.decide(now)
		return
	}
	instance.sentAt = now
	at := now.Add(instance.poll.Wait)
	if s.completeLists += boolToInt(instance.poll.Complete); instance.poll.Complete || !instance.watching {
		instance.watching = false
		served := now.Add(s.slotTime)
		if s.freeAt.After(now) {
			served = s.freeAt.Add(s.slotTime)
		}
		if served.Sub(now) > s.maxQueue {
			instance.nextStep, instance.finish = now.Add(10*ms), func() { s.rejected++; instance.Rejected() }
			return
		}
		if s.freeAt = served; instance.poll.Complete || served.After(at) {
			at = served
		}
	}
	if giveUp := now.Add(instance.poll.Timeout); at.After(giveUp) {
		instance.nextStep, instance.finish = giveUp, func() { s.timedOut++; instance.watching = false; instance.TimedOut() }
		return
	}
	instance.nextStep, instance.finish = at, func() {
		instance.Responded(instance.poll, at.Sub(now))
		if instance.poll.Complete {
			instance.ReplaceListed(listedServers(12))
		}
		if instance.watching = !instance.poll.Complete; instance.firstAnswer.IsZero() {
			instance.firstAnswer = at
		} else {
			instance.maxGap = max(instance.maxGap, at.Sub(instance.lastAnswer))
		}
		instance.lastAnswer = at
	}
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Many instances start at once at a source that bears a few polls a second, and later all see the same servers refuse for ten seconds, which
// its list goes on to name: each is answered about as soon as there are slots for all, nobody loses the watch that it has, nobody asks for
// the complete list, and the rejections are bounded.
func TestQueuedInstancesAreAllAnswered(t *testing.T) {
	for _, c := range []struct {
		instances, rejected int
		answered            time.Duration
	}{{1, 0, time.Second}, {4, 0, 1500 * ms}, {12, 6, 3 * time.Second}, {32, 85, 9 * time.Second}, {80, 330, 25 * time.Second}} {
		for seed := range uint64(5) {
			start := time.Unix(1e9, 0)
			source, all := &queueingSource{slotTime: 200 * ms, maxQueue: 2 * time.Second}, []*queuedInstance{}
			for i := range c.instances {
				settings := defaults
				settings.Instances = c.instances
				scheduler, err := New(settings, seed*1000+uint64(i), false)
				if err != nil {
					t.Fatal(err)
				}
				scheduler.ReplaceListed(listedServers(12))
				instance := &queuedInstance{Scheduler: scheduler}
				instance.decide(start)
				all = append(all, instance)
			}
			for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(5 * ms) {
				for _, instance := range all {
					for !instance.nextStep.After(now) {
						source.step(instance)
					}
					if elapsed := now.Sub(start); c.instances > 1 && elapsed > 45*time.Second && elapsed < 55*time.Second && elapsed%(100*ms) == 0 {
						if instance.Observe(now, "p1", staleness.ConnectRefused); instance.Observe(now, "p2", staleness.ConnectRefused) { // it leaves the present poll
							instance.watching = false
							instance.decide(now)
						}
					}
				}
			}
			last, gap := time.Duration(0), time.Duration(0)
			for _, instance := range all {
				if instance.firstAnswer.IsZero() {
					instance.firstAnswer = start.Add(time.Hour)
				}
				last, gap = max(last, instance.firstAnswer.Sub(start)), max(gap, instance.maxGap)
			}
			what := fmt.Sprintf("%d instances, seed %d: the last answered after %s, nothing for %s, %d rejected, %d timed out, %d complete lists",
				c.instances, seed, last, gap, source.rejected, source.timedOut, source.completeLists)
			if t.Log(what); last > c.answered || gap > 1500*ms || source.rejected > c.rejected || source.completeLists > 0 {
				t.Error(what)
			}
		}
	}
}
