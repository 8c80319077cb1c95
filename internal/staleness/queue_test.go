package staleness

import (
	"fmt"
	"testing"
	"time"
)

// queueingSource is a directory that serves a new watch or a whole list in a turn, keeps a line of so long, and turns away what comes beyond.
// A watch that goes on costs it nothing, and it has no news.
type queueingSource struct {
	slotTime, maxQueue time.Duration
	freeAt             time.Time

	rejected, completeLists, timedOut int // given up by the caller: their turns are spent all the same
}

// queuedInstance is one of its callers.
type queuedInstance struct {
	*Scheduler
	poll        Poll
	sentAt      time.Time // of the call; zero = it is not out yet
	nextStep    time.Time // when the call is made, or ends
	finish      func()
	watching    bool // the next call continues a watch
	firstAnswer time.Time
	lastAnswer  time.Time // lately
	maxGap      time.Duration
}

// decide has the waiter decide on its next call.
func (w *queuedInstance) decide(now time.Time) {
	w.poll = w.Next(now)
	w.sentAt, w.nextStep = time.Time{}, now.Add(w.poll.Delay)
}

// step makes the call, or ends it.
func (l *queueingSource) step(w *queuedInstance) {
	now := w.nextStep
	if !w.sentAt.IsZero() {
		w.finish()
		w.decide(now)
		return
	}
	w.sentAt = now
	at := now.Add(w.poll.Wait)
	if l.completeLists += boolToInt(w.poll.Complete); w.poll.Complete || !w.watching {
		w.watching = false
		served := now.Add(l.slotTime)
		if l.freeAt.After(now) {
			served = l.freeAt.Add(l.slotTime)
		}
		if served.Sub(now) > l.maxQueue {
			w.nextStep, w.finish = now.Add(10*ms), func() { l.rejected++; w.Rejected() }
			return
		}
		if l.freeAt = served; w.poll.Complete || served.After(at) {
			at = served
		}
	}
	if giveUp := now.Add(w.poll.Timeout); at.After(giveUp) {
		w.nextStep, w.finish = giveUp, func() { l.timedOut++; w.watching = false; w.TimedOut() }
		return
	}
	w.nextStep, w.finish = at, func() {
		w.Responded(w.poll, at.Sub(now))
		if w.poll.Complete {
			w.ReplaceListed(listedServers(12))
		}
		if w.watching = !w.poll.Complete; w.firstAnswer.IsZero() {
			w.firstAnswer = at
		} else {
			w.maxGap = max(w.maxGap, at.Sub(w.lastAnswer))
		}
		w.lastAnswer = at
	}
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Many start at once at a directory that bears a few calls a second, and later all see the same servers refuse for ten seconds, which
// its list goes on to name: each is heard about as soon as there are turns for all, nobody loses the watch that it has, nobody
// asks for the whole list, and what is turned away is bounded.
func TestQueuedInstancesAreAllAnswered(t *testing.T) {
	for _, c := range []struct {
		callers, refused int
		heard            time.Duration
	}{{1, 0, time.Second}, {4, 0, 1500 * ms}, {12, 6, 3 * time.Second}, {32, 85, 9 * time.Second}, {80, 330, 25 * time.Second}} {
		for seed := range uint64(5) {
			start := time.Unix(1e9, 0)
			l, all := &queueingSource{slotTime: 200 * ms, maxQueue: 2 * time.Second}, []*queuedInstance{}
			for i := range c.callers {
				set := defaults
				set.Instances = c.callers
				scheduler, err := New(set, seed*1000+uint64(i), false)
				if err != nil {
					t.Fatal(err)
				}
				scheduler.ReplaceListed(listedServers(12))
				w := &queuedInstance{Scheduler: scheduler}
				w.decide(start)
				all = append(all, w)
			}
			for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(5 * ms) {
				for _, w := range all {
					for !w.nextStep.After(now) {
						l.step(w)
					}
					if s := now.Sub(start); c.callers > 1 && s > 45*time.Second && s < 55*time.Second && s%(100*ms) == 0 {
						if w.Observe(now, "p1", ConnectRefused); w.Observe(now, "p2", ConnectRefused) { // it leaves the present call
							w.watching = false
							w.decide(now)
						}
					}
				}
			}
			last, gap := time.Duration(0), time.Duration(0)
			for _, w := range all {
				if w.firstAnswer.IsZero() {
					w.firstAnswer = start.Add(time.Hour)
				}
				last, gap = max(last, w.firstAnswer.Sub(start)), max(gap, w.maxGap)
			}
			what := fmt.Sprintf("%d callers, seed %d: the last heard after %s, nothing heard for %s, %d turned away, %d given up, %d whole lists",
				c.callers, seed, last, gap, l.rejected, l.timedOut, l.completeLists)
			if t.Log(what); last > c.heard || gap > 1500*ms || l.rejected > c.refused || l.completeLists > 0 {
				t.Error(what)
			}
		}
	}
}
