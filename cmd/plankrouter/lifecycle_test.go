package main

import "testing"

// Every phase can be reached from the start, every one but left leads to left, and left is the end.
func TestLifecycleEndsFromEveryPhase(t *testing.T) {
	reached := map[phase]bool{starting: true}
	for more := true; more; {
		more = false
		for from, events := range transitions {
			for _, to := range events {
				if reached[from] && !reached[to] {
					reached[to] = true
					more = true
				}
			}
		}
	}
	for one := starting; one <= left; one++ {
		events, listed := transitions[one]
		if !listed || !reached[one] {
			t.Errorf("phase %d: listed %t, reached %t", one, listed, reached[one])
		}
		if one == left && len(events) != 0 || one != left && events[allAnswered] != left {
			t.Errorf("phase %d: %v", one, events)
		}
	}
}

// A shutdown outlasts the handover that it meets, and a process that has left stays so.
func TestLifecycle(t *testing.T) {
	for name, row := range map[string]struct {
		events []event
		want   phase
	}{
		"serves":                             {[]event{mayServe}, serving},
		"hands over":                         {[]event{mayServe, successorReady, successorHasAll}, left},
		"loses its successor":                {[]event{mayServe, successorReady, successorLost}, serving},
		"stops while it starts":              {[]event{stopSignalled, mayServe}, shuttingDown},
		"stops":                              {[]event{mayServe, stopSignalled, lastForwardReached}, draining},
		"stops and ends":                     {[]event{mayServe, stopSignalled, lastForwardReached, allAnswered}, left},
		"stops during a handover":            {[]event{mayServe, successorReady, stopSignalled}, shuttingDown},
		"stops and loses its successor":      {[]event{mayServe, successorReady, stopSignalled, successorLost}, shuttingDown},
		"drains and completes its handover":  {[]event{mayServe, successorReady, stopSignalled, lastForwardReached, successorHasAll}, left},
		"retires":                            {[]event{mayServe, predecessorServesOn}, retiring},
		"is told to stop while it retires":   {[]event{mayServe, predecessorServesOn, stopSignalled}, shuttingDown},
		"is told to stop after it has left":  {[]event{mayServe, allAnswered, stopSignalled}, left},
		"reaches its schedule after it left": {[]event{mayServe, stopSignalled, allAnswered, lastForwardReached}, left},
	} {
		var l lifecycle
		for _, e := range row.events {
			l.on(e)
		}
		if got := l.current(); got != row.want {
			t.Errorf("%s: phase %d, want %d", name, got, row.want)
		}
	}
}
