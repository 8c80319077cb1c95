package dispatch

import (
	"plankrouter/policy"
	"time"
)

// clock gives the module its time: Unix milliseconds at the start plus what has passed since by the
// monotonic clock. The providers' start times are Unix milliseconds too, and a step of the wall clock must not
// move deadlines.
type clock struct {
	start time.Time
	zero  policy.Ms // the wall clock at start
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), unixMs(wall())} }

func (c clock) at(t time.Time) policy.Ms { return c.zero + millis(t.Sub(c.start)) }

// unixMs words a time as a date of the wall clock.
func unixMs(t time.Time) policy.Ms { return float64(t.UnixMicro()) / 1e3 }

// duration and millis turn the module's milliseconds into a Duration and back.
func duration(ms policy.Ms) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func millis(d time.Duration) policy.Ms    { return float64(d) / float64(time.Millisecond) }

// timer is one that the module has set, or the end of a call's time.
type timer struct {
	at          time.Time
	policyTimer uint64
	attempt     uint64 // 0 = the module's
	index       int    // in timers

	expires bool // with call: it ends only what is not written whole
}

// timers is a heap, the earliest first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	one := x.(*timer)
	one.index = len(*t)
	*t = append(*t, one)
}

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*t = old[:len(old)-1]
	return last
}
