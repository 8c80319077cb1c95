// Package upstream is the interface between the dispatcher and the protocol in which it talks to servers. The dispatcher asks an Upstream
// to start an attempt and to cancel one; the upstream reports how it ended, once. Package upstreamtest is the suite that every Upstream has
// to pass.
package upstream

import (
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// Upstream makes the attempts of one dispatcher. All methods are called by the dispatcher's goroutine alone and must not block.
type Upstream interface {
	// Endpoint returns the server's process at host:port.
	Endpoint(server, address string) Endpoint
	// Forget says that the server is gone for good: what was learned of it may go, too.
	Forget(server string)
	// State returns what was learned of how connections do, in at most 256 KiB, for Restore by a later process; nil = nothing.
	State(now time.Time) ([]byte, error)
	// Restore takes a State that was returned a time of age ago. After an error all is as it was.
	Restore(now time.Time, state []byte, age time.Duration) error
}

// Endpoint is one process of a server at one address. A server that restarts or moves gets another.
type Endpoint interface {
	// Start begins an attempt. Its end is reported by AttemptOptions.OnEnd, never before Start has returned.
	Start(AttemptOptions) Attempt
	// Close ends idle connections: the server drains, is gone or lives elsewhere. Attempts under way go on.
	Close()
	// Address is the host:port.
	Address() string
}

// AttemptOptions is an attempt to be made.
type AttemptOptions struct {
	// Request is what the attempt is for. Once its client has left, neither the first nor the last byte of the attempt may be written;
	// Request.CheckClientGone says so at the moment. nil = a probe: the server is asked for its load.
	Request    *request.Request
	Timeout    time.Duration // after which the attempt is going to be cancelled, for the server to know
	Deadline   time.Time     // when it is going to be cancelled: no last byte later than this; zero = after Timeout from when it is sent
	StartBy    time.Time     // no first byte later than this; zero = any time
	Expires    time.Time     // neither the first nor the last byte later than this; zero = any time
	OnBodySent func()        // with a Remainder: called when its last byte is written; nil = nobody asks
	OnEnd      func(Result)  // called once from any goroutine, unless Cancel or Withdraw returned true; may wait for the dispatcher's goroutine
}

// Attempt is an attempt under way. Its methods are safe for concurrent use and do not block.
type Attempt interface {
	// Cancel gives the attempt up, for the reason why, and returns how that has ended it, and true; when it returns, nothing
	// further of this attempt can reach the server. False means that it has ended already: OnEnd has been called or is about to be.
	Cancel(why outcome.Kind) (outcome.Kind, bool)
	// Withdraw is Cancel for an attempt whose last byte is not written. False means that it may have run, or has ended already. An attempt
	// that was never sent does not run: withdrawing it is allowed where cancelling is not.
	Withdraw(why outcome.Kind) (outcome.Kind, bool)
	// StartBy forbids a first byte later than t, in addition to what was forbidden before.
	StartBy(t time.Time)
}

// Result is how an attempt ended.
type Result struct {
	Outcome     outcome.Kind
	Report      policy.Report   // the server's load, where the answer has it
	StatusCode  int             // the protocol's own status, where the request was Served
	Fields      []request.Field // the answer's, where the request was Served
	Body        []byte
	Remainder   request.BodyStream // what follows Body; nil = that is all. Whoever gets it closes it
	ConnectedAt time.Time          // when the connection came up on which an answer came; zero = none did, or there are no connections
}
