package fakes

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Step is one thing that happens at a time after the start.
type Step struct {
	At   time.Duration
	Name string
	Act  func() // what takes long holds up the steps after it
}

// Event is a step that has been taken.
type Event struct {
	Name string
	At   time.Time // when it began
}

// Timeline is what happens, in any order; of steps for the same time the first is taken first.
type Timeline []Step

// Play takes the steps, each once its time after start has come, until the last or the end of ctx, and returns those
// that it has taken.
func (t Timeline) Play(ctx context.Context, start time.Time) (done []Event) {
	steps := slices.Clone(t)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for _, s := range steps {
		if Pause(ctx, time.Until(start.Add(s.At))) != nil {
			return done
		}
		done = append(done, Event{Name: s.Name, At: time.Now()})
		s.Act()
	}
	return done
}
