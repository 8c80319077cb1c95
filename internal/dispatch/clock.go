package dispatch

import (
	"time"

	"plankrouter/policy"
)

// clock gives the policy its time: Unix milliseconds at the start plus what has passed since by the monotonic clock. The servers' start
// times are Unix milliseconds too, and a step of the wall clock must not move deadlines.
type clock struct {
	start     time.Time
	startDate policy.Ms // by the wall clock
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), unixMs(wall())} }

func (c clock) at(t time.Time) policy.Ms { return c.startDate + millis(t.Sub(c.start)) }

// unixMs returns a time as a date of the wall clock.
func unixMs(t time.Time) policy.Ms { return float64(t.UnixMicro()) / 1e3 }

// duration turns the policy's milliseconds into a Duration.
func duration(ms policy.Ms) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// millis turns a Duration into the policy's milliseconds.
func millis(d time.Duration) policy.Ms { return float64(d) / float64(time.Millisecond) }
