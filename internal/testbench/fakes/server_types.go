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
	serviceTimeWeight = 0.1 // weight of the latest service time in the reported moving average
)

// LocalZone is the only zone in the configuration that Config returns.
const LocalZone = "here"

// Service is the service time and response size of one class.
type Service struct {
	Mean  time.Duration // mean service time on a core
	Fixed bool          // every request takes exactly Mean; else exponentially distributed
	Body  int           // length of a response body in bytes; the body always has the request's id and a newline
}

// ServerOptions are the fixed properties of a server, which faults do not change.
type ServerOptions struct {
	ID       string
	Address  string // see Network.Listen
	Locality string // "" = LocalZone
	Seed     uint64 // seed of service times and failures

	Cores           int                // requests that run concurrently; 0 = 1
	Queue           int                // requests that may wait for a core; further ones are declined; 0 = none may wait
	Service         map[string]Service // by class, which is the first segment of the path
	Default         Service            // for all other classes
	Handshake       time.Duration      // extra service time of the first request on a connection, as for a TLS handshake
	SlowStartFactor float64            // service time multiplier of a process that has just started; 1 or less = no slow start
	WarmUpTime      time.Duration      // time in which SlowStartFactor falls linearly to 1
	MaxIdle         time.Duration      // connections idle for this long are closed; 0 = never
}

// ProbeFault is a fault that affects probes.
type ProbeFault uint8

// The faults, with the result of a probe to a server that is not draining.
const (
	ProbesOK          ProbeFault = iota
	ProbesUnavailable            // 503
	ProbesReset                  // the connection is reset
)

// Truncation cuts a response short.
type Truncation struct {
	After int  // number of bytes sent, including the header; 0 = none
	Reset bool // reset the connection afterwards; else close it gracefully
}

// Framing is how the end of a response is told.
type Framing uint8

// The framings.
const (
	ByLength Framing = iota // Content-Length
	InChunks                // Transfer-Encoding: chunked, a chunk for each piece
	ToEnd                   // the connection is closed after the response
)

// Pieces makes responses long, and writes them slowly.
type Pieces struct {
	Length     int           // of the body, in bytes, at least
	Size       int           // bytes written at a time
	Pause      time.Duration // between two pieces
	Framing    Framing
	FirstPause time.Duration // between the head and the first piece
}

// Behaviour is the set of a server's active faults; its zero value has none. Requests affected by Truncate, Stall,
// FailFraction and ReplaceWith are executed; requests that are declined or reset are not.
type Behaviour struct {
	Drain              bool          // probes get 503 and requests are declined
	Decline            bool          // requests are declined, probes succeed
	Probes             ProbeFault    // fault of probes only
	ResetAll           bool          // every request and probe is reset
	ResetAfterIdle     time.Duration // requests on a connection idle for longer are reset; 0 = none
	ResetAfterRequests int           // requests on a connection after this many are reset; 0 = none
	Truncate           *Truncation   // cuts every response short; nil = none
	Pieces             *Pieces       // how responses are written; nil = at once
	Stall              bool          // only the response header is sent, and the connection stays open
	Unresponsive       bool          // requests and probes get no response, and connections stay open
	FailFraction       float64       // fraction of requests that get 500 after their execution
	ReplaceWith        []byte        // sent in place of every response; nil = none
	Slowdown           float64       // service time multiplier; 0 = 1
}

// Outcome is what a server did with a request.
type Outcome uint8

// The outcomes.
const (
	Pending    Outcome = iota // waiting for a core or running
	Responded                 // 200 with its complete body
	Errored                   // 500
	Declined                  // rejected with the decline header: never ran
	MissingID                 // 404: the request had no id
	Reset                     // the connection was reset: never ran
	ClientGone                // the client disconnected while the request was queued: never ran
	Unsent                    // the client disconnected before the response, or the server is unresponsive
	Killed                    // the process ended before the response
	Truncated                 // the response was cut short or not sent at all
	Stalled                   // only the response header was sent
	Garbled                   // ReplaceWith was sent in place of the response
)

var outcomes = [...]string{
	"pending", "answered", "errored", "declined", "nameless", "reset", "left", "unsent",
	"killed", "broken off", "stalled", "spoilt",
}

func (o Outcome) String() string { return outcomes[o] }

// Request is one request as the server received it.
type Request struct {
	ID, Class, Method, Path string
	Body                    string
	Server                  string // id of the process that received it
	FirstByte, LastByte     time.Time
	Sent                    time.Time     // when its first byte arrived; FirstByte is later if the machine was unreachable then
	Deadline                string        // value of the deadline header
	Conn                    int           // number of the connection, from 1
	Carried                 int           // number of earlier requests on the connection, including probes
	Idle                    time.Duration // time for which the connection was idle before this request
	Started, Finished       bool          // whether its execution started and finished
	Outcome                 Outcome
	HeadSent, CutOffAt      time.Time // of a response in Pieces: when its head was sent, and when the client ended it; zero = it did not
}

// Probe is one probe as the server received it.
type Probe struct {
	At     time.Time
	Conn   int
	Path   string
	Status int // status of the response; 0 = the connection was reset
}
