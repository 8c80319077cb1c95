package plankrouter

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/request"
)

// MaxBody is the largest size of a request's or a response's body, in bytes.
const MaxBody = http1.MaxBody

// contextGrace is how much later than ctx's deadline a request times out in the dispatcher, so that the context ends first and
// Do returns the context's error.
const contextGrace = 5 * time.Millisecond

// noTenant is the tenant index of a request without a tenant.
const noTenant = -1

// Do sends the request and returns its only outcome, at the latest when ctx ends or the class's deadline has passed. The
// error is a *RejectedError, *FailedError, *CancelledError or *RequestError, or one of ErrClosed, ErrDuplicate and
// ErrTooLarge. After a *RequestError or one of these three, nothing has been sent.
func (b *Balancer) Do(ctx context.Context, r *Request) (*Response, error) {
	if !b.beginCall() {
		return nil, ErrClosed
	}
	defer b.calls.Done()
	if err := ctx.Err(); err != nil {
		b.cancelled.Add(1)
		return nil, &CancelledError{Cause: err}
	}
	if r == nil {
		return nil, &RequestError{"Request", "is nil"}
	}
	req, err := b.toRequest(r)
	if err != nil {
		return nil, err
	}
	req.SentAt = time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = min(req.Timeout, deadline.Sub(req.SentAt)+contextGrace)
	}
	responses := make(chan request.Response, 1)
	req.Respond = func(resp request.Response) { responses <- resp }
	req.ClientGone = func() bool { return ctx.Err() != nil }
	if !b.dispatcher.Submit(req) {
		return nil, ErrClosed
	}
	select {
	case resp := <-responses:
		return toResponse(resp)
	case <-ctx.Done():
	case <-b.dispatcher.Done():
	}
	return b.cancel(ctx, req, responses)
}

// cancel cancels a request whose context has ended, or whose balancer was closed, and returns its outcome.
func (b *Balancer) cancel(ctx context.Context, req *request.Request, responses <-chan request.Response) (*Response, error) {
	mayHaveRun := b.dispatcher.Cancel(req)
	select {
	case resp := <-responses: // arrived before the cancellation
		return toResponse(resp)
	default:
	}
	if err := ctx.Err(); err != nil {
		b.cancelled.Add(1)
		return nil, &CancelledError{MayHaveRun: mayHaveRun, Cause: err}
	}
	return nil, &FailedError{MayHaveRun: mayHaveRun} // the ctx of Close ended before this call did
}

// beginCall adds a call of Do to those in flight; it returns false if the balancer is closed.
func (b *Balancer) beginCall() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.calls.Add(1)
	}
	return !b.closed
}

// toRequest converts an application's request to the dispatcher's.
func (b *Balancer) toRequest(r *Request) (*request.Request, error) {
	class, known := b.classes[r.Class]
	method := cmp.Or(r.Method, http.MethodGet)
	target := cmp.Or(r.Target, "/")
	switch {
	case !known && r.Class != "":
		return nil, &RequestError{"Class", fmt.Sprintf("no class is named %q", r.Class)}
	case !http1.ValidRequestLine(method, target) || target[0] != '/' && target != "*":
		return nil, &RequestError{"Method and Target", fmt.Sprintf("%q %q is not a valid request line", method, target)}
	case method == http.MethodConnect:
		return nil, &RequestError{"Method", "CONNECT is not supported: a tunnel has no single outcome"}
	case len(r.Body) > MaxBody:
		return nil, ErrTooLarge
	}
	id := r.ID
	if id == "" {
		id = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	}
	fields, host, err := toFields(r.Header)
	if err != nil {
		return nil, err
	}
	if !http1.ValidField(http1.HeaderID, id) {
		return nil, &RequestError{"ID", fmt.Sprintf("%q is not a valid header value", id)}
	}
	tenant, named := b.tenants[r.Tenant]
	if !named {
		tenant = noTenant
	}
	return &request.Request{
		ID: id, Class: class, Tenant: tenant, Timeout: b.options.Classes[class].Deadline, Host: host,
		Method: method, Target: target, Fields: fields.EndToEnd(http1.IsSetPerAttempt), Body: r.Body,
	}, nil
}

// toFields converts a header; host is its Host field, if any.
func toFields(header http.Header) (fields http1.Header, host string, err error) {
	for name, values := range header {
		for _, value := range values {
			if !http1.ValidField(name, value) {
				return nil, "", &RequestError{"Header", fmt.Sprintf("%q: %q is not a valid header field", name, value)}
			}
			fields = append(fields, http1.Field{Name: name, Value: value})
			if name == "Host" {
				host = value
			}
		}
	}
	return fields, host, nil
}

// toResponse converts the dispatcher's final response to the outcome of Do.
func toResponse(resp request.Response) (*Response, error) {
	switch resp.Kind {
	case request.Served:
		r := &Response{Status: resp.StatusCode, Header: make(http.Header, len(resp.Fields)), Body: resp.Body}
		for _, f := range resp.Fields {
			r.Header.Add(f.Name, f.Value)
		}
		return r, nil
	case request.Rejected:
		return nil, &RejectedError{RetryAfter: resp.RetryAfter, MayHaveRun: resp.MayHaveRun}
	case request.Duplicate:
		return nil, ErrDuplicate
	}
	return nil, &FailedError{MayHaveRun: resp.MayHaveRun}
}
