// Package upstream is the seam between the core of a pool and the protocol in which its providers are spoken to. The core
// asks a Caller to start an attempt and to stop one; the caller reports how it ended, once. Package callertest is the suite
// that every Caller has to pass.
package upstream

import (
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
	"time"
)

// Upstream carries the attempts of one pool. All methods are called by the pool's goroutine alone and must not block.
type Upstream interface {
	// Endpoint returns what stands for a provider's process at host:port.
	Endpoint(provider, address string) Endpoint
	// Forget says that the provider is gone for good: what was learned of it may go, too.
	Forget(provider string)
	// State returns what was learned of how connections do, in at most 256 KiB, for Restore by a later process; nil = nothing.
	State(now time.Time) ([]byte, error)
	// Restore takes a State that was returned a time of age ago. After an error all is as it was.
	Restore(now time.Time, state []byte, age time.Duration) error
}

// Endpoint is one process of a provider at one address. A provider that restarts or moves gets another.
type Endpoint interface {
	// Start begins an attempt. Its end is reported by Task.Ended, never before Start has returned.
	Start(AttemptOptions) Attempt
	// Close ends what is kept idle: the provider drains, is gone or lives elsewhere. Attempts under way go on.
	Close()
	// Address is the host:port.
	Address() string
}

// AttemptOptions is an attempt to be made.
type AttemptOptions struct {
	// Request is whom the attempt is for. Once its consumer has left, neither the first nor the last byte of the attempt may be
	// written; Invocation.Look says so at the moment. nil = a probe: the provider is asked for its load.
	Request    *request.Request
	Timeout    time.Duration // after which the attempt is going to be stopped, for the provider to know
	Deadline   time.Time     // when it is going to be stopped: no last byte later than this; zero = after Wait from when it is sent
	StartBy    time.Time     // no first byte later than this; zero = any time
	Expires    time.Time     // neither the first nor the last byte later than this; zero = any time
	OnBodySent func()        // with a Source: called when its last byte is written; nil = nobody asks
	OnEnd      func(Result)  // called once from any goroutine, unless Stop returned true; may wait for the pool's goroutine
}

// Attempt is an attempt under way. Its methods are safe for concurrent use and do not block.
type Attempt interface {
	// Cancel gives the attempt up, for the reason why, and returns how that has ended it, and true; when it returns, nothing
	// further of this attempt can reach the provider. False means that it has ended already: Ended has been called or is
	// about to be.
	Cancel(why outcome.Kind) (outcome.Kind, bool)
	// Withdraw is Stop for an attempt whose last byte is not written. False means that it may have run, or has ended already.
	// What was never sent is no running attempt: to withdraw it is no cancel, and allowed where cancels are not.
	Withdraw(why outcome.Kind) (outcome.Kind, bool)
	// StartBy forbids a first byte later than t, beside what was forbidden before.
	StartBy(t time.Time)
}

// Result is how an attempt ended.
type Result struct {
	Outcome     outcome.Kind
	Report      policy.Report   // the provider's load, where the answer told it
	StatusCode  int             // the protocol's own word for the answer, where it was Served
	Fields      []request.Field // the answer's, where it was Served
	Body        []byte
	Remainder   request.BodyStream // what follows Body; nil = that is all. Whoever gets it closes it
	ConnectedAt time.Time          // when the connection came up on which an answer came; zero = none did, or there are no connections
}
