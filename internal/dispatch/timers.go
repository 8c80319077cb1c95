package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/policy"
)

// timerKind says what is to be done when a timer fires.
type timerKind uint8

const (
	policyTimer    timerKind = iota // the policy has set it
	attemptTimeout                  // an attempt's time is up
	attemptExpiry                   // an attempt that is not written whole must not be any more
)

// notQueued is the index of a timer that is not in the heap.
const notQueued = -1

type timer struct {
	kind    timerKind
	fireAt  time.Time
	handle  uint64    // the policy's, of a policyTimer
	attempt attemptID // of the others
	index   int       // in timers, or notQueued
}

// fireTimers handles the timers whose time has come.
func (d *Dispatcher) fireTimers() {
	for len(d.timers) > 0 && !time.Now().Before(d.timers[0].fireAt) {
		t := heap.Pop(&d.timers).(*timer)
		switch t.kind {
		case policyTimer:
			d.handle(policy.Event{Kind: policy.TimerFired, Timer: t.handle})
		case attemptExpiry:
			d.withdrawAttempt(t.attempt, outcome.Expired)
		case attemptTimeout:
			d.cancelAttempt(t.attempt, outcome.TimedOut)
		}
	}
}

// timers is a heap.Interface, the earliest first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].fireAt.Before(t[j].fireAt) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = notQueued
	*t = old[:len(old)-1]
	return last
}
