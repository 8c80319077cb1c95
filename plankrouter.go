// Package plankrouter balances requests over the servers of a fleet from within an application, by the same core and the
// same decisions as the plankrouter daemon: asynchronous Prequal over probed load, evidence from own outcomes, admission,
// budgets for further attempts and for servers that have just started.
//
//	b, err := plankrouter.New(plankrouter.Options{
//		Classes: []plankrouter.Class{
//			{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond},
//			{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Repeat: plankrouter.Once},
//		},
//		Members: []plankrouter.Member{{Address: "10.0.0.4:3000"}, {Address: "10.0.0.5:3000"}},
//	})
//	...
//	defer b.Close(ctx)
//	answer, err := b.Do(ctx, &plankrouter.Request{Class: "tile", Method: "GET", Target: "/tile/roma?z=3"})
//
// Each call of Do has exactly one outcome: an answer or an error, which says whether the request may have run. What it
// promises beside that is what the daemon promises: one attempt out at a time; a request of a class that must not run twice
// is sent again only where no earlier attempt can have run; nothing new to a server that drains once the grace is over.
//
// Balancers share nothing with one another but what they are handed, and settle nothing for the process: no signal, no
// default logger, no limit of the runtime.
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

// Response is a server's answer.
type Response struct {
	Status int // any but 5xx
	Header http.Header
	Body   []byte // at most MaxBody
}

// What calls may end in, beside an answer. RefusedError and FailedError come as pointers, to be told by errors.As.
var (
	ErrClosed    = errors.New("plankrouter: the balancer is closed")
	ErrDuplicate = errors.New("plankrouter: a request of the same id is open")
	ErrTooLarge  = fmt.Errorf("plankrouter: the body is larger than %d bytes", MaxBody)
)

// RefusedError says that the request was turned away, and that trying again is harmless.
type RefusedError struct {
	RetryAfter time.Duration // when that is worth it; 0 = not known
	MayHaveRun bool          // only of a class that may run any number of times
}

// FailedError says that the request was given up.
type FailedError struct {
	MayHaveRun bool // an attempt may have run, or may yet: of a class that must not run twice it must not be sent again
}

// CancelledError says that the context ended first. It wraps the context's error.
type CancelledError struct {
	MayHaveRun bool // as in FailedError
	Cause      error
}

// RequestError is a request that can't be sent as it is.
type RequestError struct {
	Field string // its name, such as "Class"
	Why   string
}

func (e *RefusedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("plankrouter: refused, come back in %s", e.RetryAfter)
	}
	return "plankrouter: refused"
}

func (e *FailedError) Error() string { return "plankrouter: failed, " + ran(e.MayHaveRun) }

func (e *CancelledError) Error() string {
	return fmt.Sprintf("plankrouter: %v, %s", e.Cause, ran(e.MayHaveRun))
}

// Timeout reports whether it was the context's deadline that passed, as net.Error does.
func (e *CancelledError) Timeout() bool { return errors.Is(e.Cause, context.DeadlineExceeded) }

// Unwrap returns the context's error.
func (e *CancelledError) Unwrap() error { return e.Cause }

func (e *RequestError) Error() string { return "plankrouter: request: " + e.Field + ": " + e.Why }

func ran(may bool) string {
	if may {
		return "the request may have run"
	}
	return "the request has not run"
}
