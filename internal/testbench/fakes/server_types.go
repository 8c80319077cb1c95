package fakes

import (
	"time"
)

const (
	headerID          = "Req-Id"
	headerDeadline    = "Req-Deadline"
	headerDeclined    = "Srv-Declined: 1\r\n"
	loadPath          = "/metrics/load"
	alivePath         = "/alive"
	serviceTimeWeight = 0.1 // weight of the newest service time in the report's mean
)

// LocalZone is the one locality that a sidecar knows by Config.
const LocalZone = "here"

// Service is the work of one class.
type Service struct {
	Mean  time.Duration // of the time on a core
	Fixed bool          // each takes just Mean; else they are exponential
	Body  int           // bytes of an answer, at least the request's id and a newline
}

// ServerOptions are a server's nature, which faults don't change.
type ServerOptions struct {
	ID       string
	Address  string // see Network.Listen
	Locality string // "" = Here
	Seed     uint64 // of service times and of failures

	Cores           int                // requests that run side by side; 0 = 1
	Queue           int                // requests that may wait; one more is declined. 0 = none may
	Service         map[string]Service // by class, the first part of the path
	Default         Service            // of any other class
	Handshake       time.Duration      // that the first request on a connection takes longer, as after a TLS handshake
	SlowStartFactor float64            // a process that has just started takes so many times as long; up to 1 = no longer
	WarmUpTime      time.Duration      // and is warm after so long, getting there evenly
	MaxIdle         time.Duration      // a connection idle for so long is closed; 0 = never
}

// ProbeFault says what becomes of probes.
type ProbeFault uint8

// How probes are answered, apart from draining.
const (
	ProbesOK ProbeFault = iota
	ProbesUnavailable
	ProbesReset // the connection is reset
)

// Truncation ends an answer early.
type Truncation struct {
	After int  // bytes of it, the head included; 0 = before the first
	Reset bool // else the connection is ended in order
}

// Behaviour is how a server misbehaves; the zero value is good behaviour. Requests that Truncate, Stall, FailFraction
// and Spoilt befall are run; those that are declined or reset are not.
type Behaviour struct {
	Drain              bool          // probes get 503, requests are declined
	Decline            bool          // requests are declined while probes are answered
	Probes             ProbeFault    // while requests are served
	ResetAll           bool          // each request is reset, probes included
	ResetAfterIdle     time.Duration // a request on a connection idle for longer is reset; 0 = none
	ResetAfterRequests int           // a request on a connection that has carried so many is reset; 0 = none
	Truncate           *Truncation   // of each answer
	Stall              bool          // after an answer's head nothing more comes
	Unresponsive       bool          // nothing is answered, probes included, and no connection is ended
	FailFraction       float64       // part of requests that are answered 500 after their run
	ReplaceWith        []byte        // sent in place of each answer
	Slowdown           float64       // service takes so many times as long; 0 = 1
}

// Outcome says what a server did with a request.
type Outcome uint8

// The outcomes.
const (
	Pending    Outcome = iota // waiting or running
	Responded                 // 200 and its whole body
	Errored                   // 500
	Declined                  // declined: never ran
	MissingID                 // 404: it had no id
	Reset                     // the connection was reset: never ran
	ClientGone                // the caller had gone before it began: never ran
	Unsent                    // the caller had gone before it was answered, or the process hangs
	Killed                    // the process ended first
	Truncated                 // an answer that did not end, or never began
	Stalled                   // an answer's head
	Garbled                   // bytes that are no answer
)

var outcomes = [...]string{
	"pending", "answered", "errored", "declined", "nameless", "reset", "left", "unsent",
	"killed", "broken off", "stalled", "spoilt",
}

func (o Outcome) String() string { return outcomes[o] }

// Request is one request as a server has seen it.
type Request struct {
	ID, Class, Method, Path string
	Body                    string
	Server                  string // id of the process
	FirstByte, LastByte     time.Time
	Sent                    time.Time     // its first byte, by the clock of whoever wrote it: a machine that has vanished hears of it later
	Deadline                string        // as the sidecar has told it
	Conn                    int           // the connection's number, from 1
	Carried                 int           // requests on it before, probes included
	Idle                    time.Duration // of it before, since it was accepted or last answered
	Started, Finished       bool          // its run
	Outcome                 Outcome
}

// Probe is one probe as a server has seen it.
type Probe struct {
	At     time.Time
	Conn   int
	Path   string
	Status int // 0 = it was reset
}
