package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/policy"
)

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	policyTimer    timerKind = iota // set by the policy
	attemptTimeout                  // cancels the attempt
	attemptExpiry                   // withdraws the attempt if its last byte has not been written
)

// notQueued is the index of a timer that is not in the heap.
const notQueued = -1

type timer struct {
	kind    timerKind
	fireAt  time.Time
	handle  uint64    // for a policyTimer: the policy's name for the timer
	attempt attemptID // for the other kinds: the attempt to end
	index   int       // position in timers, or notQueued
}

// fireTimers handles the timers that are due.
func (d *Dispatcher) fireTimers() {
	for len(d.timers) > 0 && !time.Now().Before(d.timers[0].fireAt) {
		t := heap.Pop(&d.timers).(*timer)
		switch t.kind {
		case policyTimer:
			d.handle(policy.Event{Kind: policy.TimerFired, Timer: t.handle})
		case attemptExpiry:
			d.withdrawAttempt(t.attempt, outcome.Expired)
		case attemptTimeout:
			d.attemptTimedOut(t.attempt)
		}
	}
}

// timers is a heap.Interface with the earliest timer first.
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
