package main

import "testing"

// Every phase can be reached from starting, finished can be reached from every other phase, and no phase follows finished.
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
	for p := starting; p <= finished; p++ {
		events, listed := transitions[p]
		if !listed || !reached[p] {
			t.Errorf("phase %d: listed %t, reached %t", p, listed, reached[p])
		}
		if p == finished && len(events) != 0 || p != finished && events[allFinished] != finished {
			t.Errorf("phase %d: %v", p, events)
		}
	}
}

// A shutdown continues whatever becomes of a handover in progress, and a finished process stays finished.
func TestLifecycle(t *testing.T) {
	for name, row := range map[string]struct {
		events []event
		want   phase
	}{
		"starts to serve":                   {[]event{mayServe}, serving},
		"completes a handover":              {[]event{mayServe, successorReady, handoverCompleted}, finished},
		"successor is lost":                 {[]event{mayServe, successorReady, successorLost}, serving},
		"stop signal while starting":        {[]event{stopSignalled, mayServe}, shuttingDown},
		"stop signal":                       {[]event{mayServe, stopSignalled, lastForwardReached}, draining},
		"stop signal, then finished":        {[]event{mayServe, stopSignalled, lastForwardReached, allFinished}, finished},
		"stop signal during a handover":     {[]event{mayServe, successorReady, stopSignalled}, shuttingDown},
		"stop signal, then successor lost":  {[]event{mayServe, successorReady, stopSignalled, successorLost}, shuttingDown},
		"handover completed while draining": {[]event{mayServe, successorReady, stopSignalled, lastForwardReached, handoverCompleted}, finished},
		"retires after a failed handover":   {[]event{mayServe, predecessorResumed}, retiring},
		"stop signal while retiring":        {[]event{mayServe, predecessorResumed, stopSignalled}, shuttingDown},
		"stop signal after finished":        {[]event{mayServe, allFinished, stopSignalled}, finished},
		"last forward after finished":       {[]event{mayServe, stopSignalled, allFinished, lastForwardReached}, finished},
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
