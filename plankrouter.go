// Package plankrouter balances requests over the servers of a fleet from within an application, by the dispatcher
// and the policy of the plankrouter daemon: asynchronous Prequal over probed load, outlier detection, admission control, a retry
// budget and slow start.
//
//	b, err := plankrouter.New(plankrouter.Options{
//		Classes: []plankrouter.Class{
//			{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond},
//			{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Idempotency: plankrouter.NonIdempotent},
//		},
//		Endpoints: []plankrouter.Endpoint{{Address: "10.0.0.4:3000"}, {Address: "10.0.0.5:3000"}},
//	})
//	...
//	defer b.Close(ctx)
//	response, err := b.Do(ctx, &plankrouter.Request{Class: "tile", Method: "GET", Target: "/tile/roma?z=3"})
//
// Each call of Do has exactly one outcome: a response or an error, which says whether the request may have run. What it
// promises beside that is what the daemon promises: one attempt in flight at a time; a request of a non-idempotent class is
// sent again only where no earlier attempt can have run; nothing new reaches a draining server once the grace is over.
//
// Balancers share nothing with one another but a ConnectionLimit that several are given, and change nothing of the process: no
// signal handler, no default logger, no limit of the runtime.
package plankrouter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Request is what Do sends. It is not changed, and not used once Do has returned.
type Request struct {
	Class  string      // by name; "" = the first
	Tenant string      // by name; "" or an unknown one = none
	ID     string      // no two open requests may have the same; "" = one is drawn
	Method string      // "" = GET
	Target string      // path and query, such as "/tile/roma?z=3"; "" = "/"
	Header http.Header // hop-by-hop ones are left out
	Body   []byte      // at most MaxBody
}

// Response is a server's response.
type Response struct {
	Status int // any but 5xx
	Header http.Header
	Body   []byte // at most MaxBody
}

// The errors of Do that carry no details, for errors.Is. The others come as pointers to the types below, for errors.As.
var (
	ErrClosed    = errors.New("plankrouter: the balancer is closed")
	ErrDuplicate = errors.New("plankrouter: a request with the same id is open")
	ErrTooLarge  = fmt.Errorf("plankrouter: the body is larger than %d bytes", MaxBody)
)

// RejectedError says that the request was rejected, and that sending it again is harmless.
type RejectedError struct {
	RetryAfter time.Duration // after which that makes sense; 0 = not known
	MayHaveRun bool          // only of an idempotent class
}

// FailedError says that the request was given up.
type FailedError struct {
	MayHaveRun bool // an attempt may have run, or may yet: a request of a non-idempotent class must not be sent again then
}

// CancelledError says that the context ended first. It wraps the context's error.
type CancelledError struct {
	MayHaveRun bool // as in FailedError
	Cause      error
}

// RequestError is a request that can't be sent as it is.
type RequestError struct {
	Field  string // its name, such as "Class"
	Reason string
}

func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("plankrouter: rejected, retry after %s", e.RetryAfter)
	}
	return "plankrouter: rejected"
}

func (e *FailedError) Error() string { return "plankrouter: failed, " + describeRun(e.MayHaveRun) }

func (e *CancelledError) Error() string {
	return fmt.Sprintf("plankrouter: %v, %s", e.Cause, describeRun(e.MayHaveRun))
}

// Timeout reports whether it was the context's deadline that passed, as net.Error does.
func (e *CancelledError) Timeout() bool { return errors.Is(e.Cause, context.DeadlineExceeded) }

// Unwrap returns the context's error.
func (e *CancelledError) Unwrap() error { return e.Cause }

func (e *RequestError) Error() string { return "plankrouter: request: " + e.Field + ": " + e.Reason }

// describeRun words MayHaveRun for an error's message.
func describeRun(mayHaveRun bool) string {
	if mayHaveRun {
		return "the request may have run"
	}
	return "the request has not run"
}
