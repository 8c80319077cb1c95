// Package upstream defines the interface between the dispatcher and the protocol that is used with servers. The dispatcher
// starts and cancels attempts through an Upstream, which reports the result of each exactly once. Package upstreamtest is the
// conformance suite for implementations.
package upstream

import (
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// Upstream sends the attempts of one dispatcher. Its methods are called by the dispatcher's goroutine alone and must not block.
type Upstream interface {
	// Endpoint returns the endpoint for the server's process at address, a host:port.
	Endpoint(server, address string) Endpoint
	// Forget permits discarding what was learned about a server, which is permanently removed.
	Forget(server string)
	// State returns what was learned about the servers' connections, at most 256 KiB, for Restore in a later process; nil =
	// nothing.
	State(now time.Time) ([]byte, error)
	// Restore restores a State that was returned age ago. If it fails, nothing has changed.
	Restore(now time.Time, state []byte, age time.Duration) error
}

// Endpoint is one process of a server at one address. A server that restarts or changes its address gets a new one.
type Endpoint interface {
	// Start starts an attempt. Its result is reported by AttemptOptions.OnEnd, never before Start has returned.
	Start(AttemptOptions) Attempt
	// Close closes idle connections, because the server drains, is removed or has moved. Attempts in flight continue.
	Close()
	// Address returns the host:port.
	Address() string
}

// UploadMargin is how long before the client's timeout an attempt with a streamed body ends.
const UploadMargin = 15 * time.Millisecond

// AttemptOptions describe an attempt to start.
type AttemptOptions struct {
	// Request is the request to send. Once its client is gone, which Request.CheckClientGone checks, neither the first nor
	// the last byte of the attempt may be written. nil = a probe for the server's load.
	Request  *request.Request
	Timeout  time.Duration // after which the attempt will be cancelled; it is sent to the server
	Deadline time.Time     // when it will be cancelled: its last byte must not be written later; zero = Timeout after it is sent
	StartBy  time.Time     // its first byte must not be written later; zero = no limit
	Expires  time.Time     // neither its first nor its last byte may be written later; zero = no limit
	// OnBodySent is called when the last byte of a Request with a Remainder is written. The client may have written all of the body
	// by heldBack before, since the server has held the body back for so long.
	OnBodySent func(heldBack time.Duration)
	// OnResponding is called once the response has begun, if it is not complete at once; may be nil.
	OnResponding func()
	// ResponseBy is when a response is due that has begun by the Deadline; zero = by the Deadline.
	ResponseBy time.Time
	OnEnd      func(Result) // called once from any goroutine, unless cancelled or withdrawn; may wait for the dispatcher
}

// Attempt is an attempt in flight. Its methods are safe for concurrent use and do not block.
type Attempt interface {
	// Cancel ends the attempt for the given reason, and returns its outcome and true; from then on, nothing more of the attempt
	// can reach the server. False means that it has already ended: OnEnd has been called or is about to be.
	Cancel(reason outcome.Kind) (outcome.Kind, bool)
	// Withdraw is Cancel for an attempt whose last byte is not written. False means that it may have run, or has already
	// ended. An attempt that was not sent completely can't run: it may be withdrawn even where cancelling is not permitted.
	Withdraw(reason outcome.Kind) (outcome.Kind, bool)
	// ResponseBegun reports whether the server has begun to respond. The attempt must not be cancelled then because of its Timeout,
	// since that would cut off what the server is sending.
	ResponseBegun() bool
	// StartBy forbids writing the first byte after t, in addition to earlier limits.
	StartBy(t time.Time)
}

// Result is how an attempt ended.
type Result struct {
	Outcome     outcome.Kind
	Report      policy.Report   // the server's load, if the response contains it
	StatusCode  int             // the protocol's own status, if the request was Served
	Fields      []request.Field // of the response, if the request was Served
	Body        []byte
	Remainder   request.BodyStream // what follows Body; nil = Body is complete. The receiver closes it
	ConnectedAt time.Time          // when the connection of the response was established; zero = no response, or no connections
}
