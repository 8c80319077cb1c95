package fakes

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Step is an action at a given time after the start.
type Step struct {
	At   time.Duration
	Name string
	Act  func() // an action that takes long delays the steps after it
}

// Event is a step that was executed.
type Event struct {
	Name string
	At   time.Time // when it started
}

// Timeline is a list of steps in any order; steps with the same time are executed in list order.
type Timeline []Step

// Play executes each step at its time after start and returns the executed steps after the last one or when ctx ends.
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
