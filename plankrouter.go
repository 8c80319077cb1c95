// Package plankrouter is a client-side load balancer for applications. It uses the dispatcher and the policy of the plankrouter
// daemon: asynchronous Prequal over probed load, outlier detection, admission control, a retry budget and slow start.
//
//	b, err := plankrouter.New(plankrouter.Options{
//		Classes: []plankrouter.Class{
//			{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond},
//			{
//				Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second,
//				PriorityWeight: 5, Idempotency: plankrouter.NonIdempotent,
//			},
//		},
//		Endpoints: []plankrouter.Endpoint{{Address: "10.0.0.4:3000"}, {Address: "10.0.0.5:3000"}},
//	})
//	...
//	defer b.Close(ctx)
//	response, err := b.Do(ctx, &plankrouter.Request{Class: "tile", Method: "GET", Target: "/tile/roma?z=3"})
//
// Each call of Do has exactly one outcome: a response, or an error that says whether the request may have run. The other
// guarantees are those of the daemon: a request has at most one attempt in flight at a time; a request of a non-idempotent
// class is retried only if no earlier attempt can have run; no new attempt reaches a draining server after the drain grace
// period.
//
// Balancers share no state except a ConnectionLimit that is passed to several of them. They change no global state of the
// process: they install no signal handler, set no default logger and change no runtime limits.
package plankrouter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Request is a request for Do to send. Do does not modify it, and does not use it after it has returned.
type Request struct {
	Class  string      // name of the class; "" = the first class
	Tenant string      // name of the tenant; "" or an unknown name = no tenant
	ID     string      // unique among the open requests; "" = a random one
	Method string      // "" = GET
	Target string      // path and query, such as "/tile/roma?z=3"; "" = "/"
	Header http.Header // hop-by-hop headers are not sent
	Body   []byte      // at most MaxBody bytes
}

// Response is a server's response.
type Response struct {
	Status int // never 5xx
	Header http.Header
	Body   []byte // at most MaxBody bytes
}

// The errors of Do without details, for errors.Is. The other errors are pointers to the types below, for errors.As.
var (
	ErrClosed    = errors.New("plankrouter: the balancer is closed")
	ErrDuplicate = errors.New("plankrouter: a request with the same id is open, or may have run and must not run again")
	ErrTooLarge  = fmt.Errorf("plankrouter: the body is larger than %d bytes", MaxBody)
)

// RejectedError reports that the request was rejected and can safely be sent again.
type RejectedError struct {
	RetryAfter time.Duration // how long to wait before sending it again; 0 = unknown
	MayHaveRun bool          // an attempt may have run; true only for a request of an idempotent class
}

// FailedError reports that the request failed and is not retried any more.
type FailedError struct {
	MayHaveRun bool // an attempt may have run, or may still run: a request of a non-idempotent class must not be sent again
}

// CancelledError reports that the context ended before the request had an outcome. It wraps the context's error.
type CancelledError struct {
	MayHaveRun bool  // as in FailedError
	Cause      error // the context's error
}

// RequestError reports an invalid request, which was not sent.
type RequestError struct {
	Field  string // name of the invalid field, such as "Class"
	Reason string // what is wrong with it
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

// Timeout reports whether the context's deadline was exceeded, like the method of net.Error.
func (e *CancelledError) Timeout() bool { return errors.Is(e.Cause, context.DeadlineExceeded) }

// Unwrap returns the context's error.
func (e *CancelledError) Unwrap() error { return e.Cause }

func (e *RequestError) Error() string { return "plankrouter: request: " + e.Field + ": " + e.Reason }

// describeRun returns the text for MayHaveRun in an error message.
func describeRun(mayHaveRun bool) string {
	if mayHaveRun {
		return "the request may have run"
	}
	return "the request has not run"
}
