// Package shutdown has the schedule of a graceful shutdown. It reads no clock: all times count from the moment at which the signal to
// stop was sent, of which Heartbeat knows the earliest that it can have been.
//
// The platform's signal is SIGTERM, and this is the arithmetic of what follows, with L the longest deadline of a class, or
// 3 s where that is longer:
//
//	0.2 to 0.4 s  new connections still come in for so long
//	LastForward   the listener and idle connections are closed; what is read from here on is refused at once
//	LastAnswer    what has been accepted and has no answer by then is given up
//	L + 0.7 s     the kill may come
//
// Clients go on sending on connections that stay open, and a process may stall at any step, so that each lead over the kill is the
// sum of the steps that follow it.
//
// The successor starts only after the kill, however early this process ends. So every moment from LastForward to the kill is one in
// which nobody serves: no lead is longer than its sum.
package shutdown

import (
	"fmt"
	"time"
)

const (
	maxCountedDeadline = 3 * time.Second        // what the platform counts of the longest deadline
	killGrace          = 700 * time.Millisecond // from the end of that deadline to the kill
	minKill            = 500 * time.Millisecond // with less time nothing can be answered

	// MaxStall bounds for how long a process may stall at any step.
	MaxStall = 150 * time.Millisecond
	// workMargin is for the work itself, and for what is on its way to be written or read.
	workMargin = 50 * time.Millisecond

	// answerLead is for what precedes the kill: the process sees that the moment has come, gives the answer and writes it.
	answerLead = 3*MaxStall + workMargin
	// forwardLead is for one step more: the process sees that the moment has come and closes connections, reads a request that had come by
	// then, refuses it and writes that.
	forwardLead = 4*MaxStall + workMargin

	answerDivisor  = 2 // one part in so many of the time to the kill is left before LastAnswer where that is short,
	forwardDivisor = 4 // and before LastForward

	// CloseTimePerConnection is the time that the end of a client's connection takes, with an answer on it, on a tenth of a core.
	CloseTimePerConnection = 250 * time.Microsecond
)

// Schedule is the timetable from the signal to stop on.
type Schedule struct {
	LastForward time.Duration // then nothing more is accepted: the listener and idle connections are closed
	LastAnswer  time.Duration // by then all that was accepted is answered
	Kill        time.Duration // then the process may be killed
}

// NewSchedule returns the schedule for classes whose longest deadline is longest and a kill that comes no earlier than kill after the
// signal; 0 = as the platform does it.
func NewSchedule(longest, kill time.Duration) Schedule {
	if kill <= 0 {
		kill = min(longest, maxCountedDeadline) + killGrace
	}
	return Schedule{
		LastForward: max(kill-forwardLead, kill/forwardDivisor),
		LastAnswer:  max(kill-answerLead, kill/answerDivisor),
		Kill:        kill,
	}
}

// ForConnections returns the schedule for so many open connections of clients, all of which have to be answered and closed before the
// kill.
func (s Schedule) ForConnections(connections int) Schedule {
	work := time.Duration(connections) * CloseTimePerConnection
	s.LastForward = max(s.LastForward-work, min(s.LastForward, s.Kill/forwardDivisor))
	s.LastAnswer = max(s.LastAnswer-work, s.LastForward)
	return s
}

// Earlier returns the schedule of the two whose kill comes first.
func (s Schedule) Earlier(other Schedule) Schedule {
	if other.Kill < s.Kill {
		return other
	}
	return s
}

// Check returns an error where the schedule leaves no time to answer anything.
func (s Schedule) Check() error {
	if s.Kill < minKill {
		return fmt.Errorf("kill_after_ms: %s leaves no time to answer what is taken; want %s or more", s.Kill, minKill)
	}
	return nil
}

// WaitLimit is how long a request may take that came at received, which is negative before the signal, and whose client waits for
// timeout: it is answered by LastAnswer, also where its deadline is beyond what the platform counts of it, or was before the
// settings changed. The platform does not count what comes in the first 0.7 s and is open at the kill; those who sent it do.
func (s Schedule) WaitLimit(received, timeout time.Duration) time.Duration {
	return min(timeout, max(0, s.LastAnswer-received))
}
