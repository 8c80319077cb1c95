// Package shutdown computes the schedule of a graceful shutdown. It reads no clock: all times count from when the stop signal
// was sent. Heartbeat returns the earliest time at which it can have been sent.
//
// The platform sends SIGTERM, and SIGKILL later. L is the longest deadline of any request class, but no more than 3 s:
//
//	0.2 to 0.4 s  the last new connections arrive.
//	LastForward   the listener and idle connections are closed; a request that is read later is rejected at once.
//	LastResponse  an accepted request that has no response yet fails.
//	L + 0.7 s     the platform may send SIGKILL.
//
// Clients keep sending on connections that stay open, and the process may stall at any step. So LastForward and
// LastResponse each precede the kill by a lead: the sum of the times of the steps that follow.
//
// The platform starts the successor only after the kill, even if this process exits earlier. Nobody serves from LastForward
// to the kill, so no lead is longer than that sum.
package shutdown

import (
	"fmt"
	"time"
)

const (
	maxCountedDeadline = 3 * time.Second        // the platform waits for the longest deadline, but no longer than this
	killGrace          = 700 * time.Millisecond // from the longest deadline, or maxCountedDeadline, to the platform's kill
	minKill            = 500 * time.Millisecond // least time from the signal to the kill; in less, no request gets a response

	// MaxStall is the longest stall of the process that the schedule allows for at each step.
	MaxStall = 150 * time.Millisecond
	// workMargin is the time for the work of all steps, and for data in transit to be written or read.
	workMargin = 50 * time.Millisecond

	// responseLead is the time from LastResponse to the kill. Three steps may stall: the process notices the deadline, makes
	// the response and writes it.
	responseLead = 3*MaxStall + workMargin
	// forwardLead is the time from LastForward to the kill. Four steps may stall: the process notices the time and closes
	// connections, reads a request that had arrived before, rejects it and writes the response.
	forwardLead = 4*MaxStall + workMargin

	responseDivisor = 2 // if the time to the kill is short, LastResponse is that time divided by this
	forwardDivisor  = 4 // if the time to the kill is short, LastForward is that time divided by this

	// CloseTimePerConnection is the time to write a response on a client's connection and close it, on a tenth of a CPU core.
	CloseTimePerConnection = 250 * time.Microsecond
)

// Schedule is the schedule of a shutdown. Its times count from when the stop signal was sent.
type Schedule struct {
	LastForward  time.Duration // when the listener and idle connections are closed; no request is forwarded after that
	LastResponse time.Duration // by when every accepted request has a response
	Kill         time.Duration // the earliest time at which the process may be killed
}

// NewSchedule returns the schedule for classes whose longest deadline is longest, and a kill no earlier than kill after the
// signal. If kill is 0, the time of the platform's kill is computed from longest.
func NewSchedule(longest, kill time.Duration) Schedule {
	if kill <= 0 {
		kill = min(longest, maxCountedDeadline) + killGrace
	}
	return Schedule{
		LastForward:  max(kill-forwardLead, kill/forwardDivisor),
		LastResponse: max(kill-responseLead, kill/responseDivisor),
		Kill:         kill,
	}
}

// ForConnections returns the schedule with LastForward and LastResponse earlier, by up to the time that it takes to write
// responses on that many client connections and close them.
func (s Schedule) ForConnections(connections int) Schedule {
	work := time.Duration(connections) * CloseTimePerConnection
	s.LastForward = max(s.LastForward-work, min(s.LastForward, s.Kill/forwardDivisor))
	s.LastResponse = max(s.LastResponse-work, s.LastForward)
	return s
}

// Earlier returns s or other, whichever has the earlier kill, and s if the kills are equal.
func (s Schedule) Earlier(other Schedule) Schedule {
	if other.Kill < s.Kill {
		return other
	}
	return s
}

// Check returns an error if the schedule is too short for any response.
func (s Schedule) Check() error {
	if s.Kill < minKill {
		return fmt.Errorf("kill_after_ms: %s leaves no time to respond to accepted requests; want %s or more", s.Kill, minKill)
	}
	return nil
}

// WaitLimit returns how long a request may take that arrives at received (negative: before the signal), if its client waits for
// timeout. The response is due by LastResponse, even if the deadline is longer than what the platform waits for, or
// comes from settings that a reload has replaced. The platform does not count requests that arrive within 0.7 s after the
// signal and are open at the kill, but their clients do.
func (s Schedule) WaitLimit(received, timeout time.Duration) time.Duration {
	return min(timeout, max(0, s.LastResponse-received))
}
