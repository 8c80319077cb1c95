package watchpolicy

import (
	"fmt"
	"testing"
	"time"

	"plankrouter/internal/staleness"
)

// queueingSource is a source that takes slotTime to serve a new watch or a complete list, and rejects a poll that would have
// to wait longer than maxQueue. A continued watch costs it nothing, and its list does not change.
type queueingSource struct {
	slotTime, maxQueue time.Duration
	freeAt             time.Time

	rejected, completeLists, timedOut int // a poll that timed out still occupies its slot
}

// queuedInstance is an instance that polls a queueingSource.
type queuedInstance struct {
	*Scheduler
	poll          Poll
	sentAt        time.Time // when the poll was sent; zero = not yet
	nextStep      time.Time // when the poll is sent or ends
	finish        func()
	watching      bool // the next poll continues a watch
	firstResponse time.Time
	lastResponse  time.Time
	maxGap        time.Duration
}

// schedulePoll schedules the instance's next poll.
func (i *queuedInstance) schedulePoll(now time.Time) {
	i.poll = i.Next(now)
	i.sentAt = time.Time{}
	i.nextStep = now.Add(i.poll.Delay)
}

// step sends the instance's poll, or ends it if it was sent.
func (s *queueingSource) step(instance *queuedInstance) {
	now := instance.nextStep
	if !instance.sentAt.IsZero() {
		instance.finish()
		instance.schedulePoll(now)
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
	if timeoutAt := now.Add(instance.poll.Timeout); at.After(timeoutAt) {
		instance.nextStep, instance.finish = timeoutAt, func() { s.timedOut++; instance.watching = false; instance.TimedOut() }
		return
	}
	instance.nextStep, instance.finish = at, func() {
		instance.Responded(instance.poll, at.Sub(now))
		if instance.poll.Complete {
			instance.ReplaceListed(listedServers(12))
		}
		if instance.watching = !instance.poll.Complete; instance.firstResponse.IsZero() {
			instance.firstResponse = at
		} else {
			instance.maxGap = max(instance.maxGap, at.Sub(instance.lastResponse))
		}
		instance.lastResponse = at
	}
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Many instances start at once at a source with capacity for a few polls a second. Later, for ten seconds, all of them have
// connections refused by the same servers, which stay listed. Each instance gets its first response about as soon as there
// are slots for all, none loses its watch or requests the complete list, and the number of rejections is bounded.
func TestQueuedInstancesAllGetResponses(t *testing.T) {
	for _, c := range []struct {
		instances, rejected int
		maxFirstResponse    time.Duration
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
				instance.schedulePoll(start)
				all = append(all, instance)
			}
			for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(5 * ms) {
				for _, instance := range all {
					for !instance.nextStep.After(now) {
						source.step(instance)
					}
					if elapsed := now.Sub(start); c.instances > 1 && elapsed > 45*time.Second && elapsed < 55*time.Second && elapsed%(100*ms) == 0 {
						if instance.Observe(now, "p1", staleness.ConnectRefused); instance.Observe(now, "p2", staleness.ConnectRefused) {
							instance.watching = false
							instance.schedulePoll(now)
						}
					}
				}
			}
			last, gap := time.Duration(0), time.Duration(0)
			for _, instance := range all {
				if instance.firstResponse.IsZero() {
					instance.firstResponse = start.Add(time.Hour)
				}
				last, gap = max(last, instance.firstResponse.Sub(start)), max(gap, instance.maxGap)
			}
			what := fmt.Sprintf("%d instances, seed %d: last first response after %s, longest gap %s, %d rejected, %d timed out, %d complete lists",
				c.instances, seed, last, gap, source.rejected, source.timedOut, source.completeLists)
			if t.Log(what); last > c.maxFirstResponse || gap > 1500*ms || source.rejected > c.rejected || source.completeLists > 0 {
				t.Error(what)
			}
		}
	}
}
