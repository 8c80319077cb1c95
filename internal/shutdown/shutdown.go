// Package shutdown computes the schedule of a graceful shutdown. It reads no clock: all times count from when the stop signal
// was sent. Heartbeat returns the earliest time at which that can have been.
//
// The platform sends SIGTERM, and SIGKILL later. L is the longest deadline of a class, but no more than 3 s:
//
//	0.2 to 0.4 s  the last new connections arrive.
//	LastForward   the listener and idle connections are closed; a request that is read later is rejected at once.
//	LastResponse  an accepted request that has no response yet fails.
//	L + 0.7 s     the platform may send SIGKILL.
//
// Clients keep sending on connections that stay open, and the process may stall at any step. So each lead over the kill is
// the sum of the steps that follow it.
//
// The platform starts the successor only after the kill, even if this process exits earlier. Nobody serves from LastForward
// to the kill, so no lead is longer than its sum.
package shutdown

import (
	"fmt"
	"time"
)

const (
	maxCountedDeadline = 3 * time.Second        // the most of the longest deadline that the platform waits for
	killGrace          = 700 * time.Millisecond // added by the platform to that deadline to get the time of the kill
	minKill            = 500 * time.Millisecond // least time from the signal to the kill; with less no request gets a response

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

	responseDivisor = 2 // if the time to the kill is short, LastResponse is this fraction of it (1/2)
	forwardDivisor  = 4 // and LastForward this one (1/4)

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
// signal. With a kill of 0 the time of the platform's kill is computed from longest.
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

// ForConnections returns the schedule with more time before the kill, in which that many client connections get their
// responses and are closed.
func (s Schedule) ForConnections(connections int) Schedule {
	work := time.Duration(connections) * CloseTimePerConnection
	s.LastForward = max(s.LastForward-work, min(s.LastForward, s.Kill/forwardDivisor))
	s.LastResponse = max(s.LastResponse-work, s.LastForward)
	return s
}

// Earlier returns the schedule with the earlier kill, s if they are equal.
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
// comes from settings that a reload has replaced. The platform does not count requests of the first 0.7 s that are open at
// the kill, but their clients do.
func (s Schedule) WaitLimit(received, timeout time.Duration) time.Duration {
	return min(timeout, max(0, s.LastResponse-received))
}
