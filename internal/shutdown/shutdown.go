// Package shutdown decides what a sidecar that has been told to stop does when. It reads no clock: all times count from the
// moment at which that word was sent, of which Heartbeat knows the earliest that it can have been.
//
// The platform's word is SIGTERM, and this is the arithmetic of what follows, with L the longest deadline of a class, or
// 3 s where that is longer:
//
//	0.2 to 0.4 s  new connections still come in for so long
//	Last          the listener and idle connections are closed; what is read from here on is refused at once
//	Answer        what has been taken and has no answer by then is given up
//	L + 0.7 s     the kill may come
//
// Clients go on sending on connections that stay open, and a process may be held up at any step, so that each lead over the kill is the
// sum of the steps that follow it.
//
// The successor starts only after the kill, however early this process ends. So every moment from Last to the kill is one in which
// nobody serves: no lead is longer than its sum.
package shutdown

import (
	"fmt"
	"time"
)

const (
	maxCountedDeadline = 3 * time.Second        // counted of the longest deadline
	killGrace          = 700 * time.Millisecond // from there to the kill
	minKill            = 500 * time.Millisecond // with less time nothing sensible can be done

	// MaxStall is for how long a process may be held up at any step.
	MaxStall = 150 * time.Millisecond
	// workMargin is for the work itself, and for what is on its way to be written or read.
	workMargin = 50 * time.Millisecond

	// Until the kill: that the moment has come is seen, the answer is given, it is written.
	answerLead = 3*MaxStall + workMargin
	// That the moment has come is seen, so that connections are closed; a request that had come by then is read; it is refused; that is written.
	forwardLead = 4*MaxStall + workMargin

	minAnswerShare  = 2 // one part in so many of the time to the kill is left before Answer where that is short,
	minForwardShare = 4 // and before Last

	// CloseTimePerConnection is the time that the end of a client's connection takes, with an answer on it, on a tenth of a core.
	CloseTimePerConnection = 250 * time.Microsecond
)

// Schedule is the timetable from the word to stop on.
type Schedule struct {
	LastForward time.Duration // then nothing more is taken: the listener and idle connections are closed
	LastAnswer  time.Duration // by then all that was taken is answered
	Kill        time.Duration // then the process may be killed
}

// NewSchedule returns the plan for classes whose longest deadline is longest and a kill that comes no sooner than kill after the
// word; 0 = as the platform does it.
func NewSchedule(longest, kill time.Duration) Schedule {
	if kill <= 0 {
		kill = min(longest, maxCountedDeadline) + killGrace
	}
	return Schedule{LastForward: max(kill-forwardLead, kill/minForwardShare), LastAnswer: max(kill-answerLead, kill/minAnswerShare), Kill: kill}
}

// ForConnections returns the plan for so many open connections of clients, all of which have to be answered and closed before the kill.
func (s Schedule) ForConnections(connections int) Schedule {
	work := time.Duration(connections) * CloseTimePerConnection
	s.LastForward = max(s.LastForward-work, min(s.LastForward, s.Kill/minForwardShare))
	s.LastAnswer = max(s.LastAnswer-work, s.LastForward)
	return s
}

// Earlier returns the plan of the two whose kill comes first.
func (s Schedule) Earlier(other Schedule) Schedule {
	if other.Kill < s.Kill {
		return other
	}
	return s
}

// Check says why nothing sensible follows from the plan.
func (s Schedule) Check() error {
	if s.Kill < minKill {
		return fmt.Errorf("kill_after_ms: %s leaves no time to answer what is taken; want %s or more", s.Kill, minKill)
	}
	return nil
}

// WaitLimit is how long an invocation may take that comes in at since, which is negative before the word, and whose consumer
// waits for patience: it is answered by Answer, also where its deadline is beyond what the platform counts of it, or was before the
// settings changed. The platform does not count what comes in its first 0.7 s and is open at the kill; those who sent it do.
func (s Schedule) WaitLimit(received, timeout time.Duration) time.Duration {
	return min(timeout, max(0, s.LastAnswer-received))
}
