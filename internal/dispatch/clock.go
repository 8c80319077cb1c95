package dispatch

import (
	"time"

	"plankrouter/policy"
)

// clock is the policy's clock: Unix milliseconds at its start plus the time that has passed since by the monotonic clock.
// Its unit and origin are those of process start times, and a step of the wall clock does not move deadlines on it.
type clock struct {
	start     time.Time
	startDate policy.Ms // the wall clock time at start, in Unix milliseconds
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), unixMs(wall())} }

func (c clock) at(t time.Time) policy.Ms { return c.startDate + millis(t.Sub(c.start)) }

// unixMs returns t in Unix milliseconds.
func unixMs(t time.Time) policy.Ms { return float64(t.UnixMicro()) / 1e3 }

// duration converts the policy's milliseconds to a Duration.
func duration(ms policy.Ms) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// millis converts a Duration to the policy's milliseconds.
func millis(d time.Duration) policy.Ms { return float64(d) / float64(time.Millisecond) }
