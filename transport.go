package plankrouter

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Transport is an http.RoundTripper that sends requests through a Balancer. The host of a request's URL does not select the
// server; it is sent as the Host header. Only the http scheme is supported: there is no TLS to the servers.
//
// The class and the tenant of a request are those that WithClass and WithTenant put into its context, else those of the
// Transport. Each RoundTrip is one call of Do: a Transport resends nothing by itself. A request of a non-idempotent class fails
// if its response is a redirect after which http.Client would send it again (307 or 308).
type Transport struct {
	Balancer      *Balancer
	Class, Tenant string
}

type contextKey uint8

const (
	classKey contextKey = iota
	tenantKey
)

// WithClass returns a context that makes a Transport send requests with this context in the class of that name.
func WithClass(ctx context.Context, class string) context.Context {
	return context.WithValue(ctx, classKey, class)
}

// WithTenant returns a context that makes a Transport send requests with this context for the tenant of that name.
func WithTenant(ctx context.Context, tenant string) context.Context {
	return context.WithValue(ctx, tenantKey, tenant)
}

// ClassOf returns the name of the class that WithClass put into ctx; "" = none.
func ClassOf(ctx context.Context) string { return valueOf(ctx, classKey) }

// TenantOf returns the name of the tenant that WithTenant put into ctx; "" = none.
func TenantOf(ctx context.Context) string { return valueOf(ctx, tenantKey) }

func valueOf(ctx context.Context, key contextKey) string {
	s, _ := ctx.Value(key).(string)
	return s
}

// RoundTrip sends the request and returns the response, whose whole body is in memory. It always closes the request's body, and
// does not modify the request. Its errors are those of Do, or an error of reading the request's body.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	r, err := t.toRequest(req)
	if err != nil {
		return nil, err
	}
	response, err := t.Balancer.Do(req.Context(), r)
	if err != nil {
		return nil, err
	}
	repeats := response.Status == http.StatusTemporaryRedirect || response.Status == http.StatusPermanentRedirect
	if repeats && t.Balancer.isNonIdempotent(r.Class) {
		return nil, fmt.Errorf("redirect would resend a request of the non-idempotent class %q: %w", r.Class, &FailedError{MayHaveRun: true})
	}
	return response.toHTTP(req), nil
}

// toHTTP converts the response to req into an *http.Response.
func (r *Response) toHTTP(req *http.Request) *http.Response {
	resp := &http.Response{
		StatusCode: r.Status, Status: fmt.Sprintf("%d %s", r.Status, http.StatusText(r.Status)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header, ContentLength: int64(len(r.Body)),
		Body: io.NopCloser(bytes.NewReader(r.Body)), Request: req,
	}
	if len(r.Body) == 0 {
		resp.Body = http.NoBody
	}
	if length := r.Header.Get("Content-Length"); length != "" { // in a response to HEAD, the length of a body that was not sent
		if n, err := strconv.ParseInt(length, 10, 64); err == nil {
			resp.ContentLength = n
		}
	}
	return resp
}

// toRequest converts the request and closes its body.
func (t *Transport) toRequest(req *http.Request) (*Request, error) {
	if err := checkSendable(req); err != nil {
		if req.Body != nil {
			req.Body.Close()
		}
		return nil, err
	}
	ctx := req.Context()
	var body []byte
	if req.Body != nil && req.Body != http.NoBody {
		var err error
		if body, err = readBody(ctx, req.Body); err != nil {
			return nil, err
		}
		if len(body) > MaxBody {
			return nil, ErrTooLarge
		}
	}
	header := req.Header
	if host := cmp.Or(req.Host, req.URL.Host); host != "" {
		if header = header.Clone(); header == nil {
			header = http.Header{}
		}
		header["Host"] = []string{host}
	}
	return &Request{
		Class: cmp.Or(ClassOf(ctx), t.Class), Tenant: cmp.Or(TenantOf(ctx), t.Tenant),
		Method: req.Method, Target: req.URL.RequestURI(), Header: header, Body: body,
	}, nil
}

// checkSendable returns an error for a request that a Transport can't send, without reading its body.
func checkSendable(req *http.Request) error {
	switch {
	case req.URL == nil:
		return &RequestError{"URL", "missing"}
	case req.URL.Scheme != "http":
		return &RequestError{"URL.Scheme", fmt.Sprintf("%q is not supported, only http", req.URL.Scheme)}
	case req.ContentLength > MaxBody:
		return ErrTooLarge
	}
	return nil
}

// readBody reads a body to its end, or up to MaxBody+1 bytes. It returns when ctx ends even if the body blocks: both Read and
// Close run in goroutines of their own then, because Close need not interrupt a Read and may block until the Read returns.
func readBody(ctx context.Context, from io.ReadCloser) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	if err := ctx.Err(); err != nil {
		from.Close()
		return nil, &CancelledError{Cause: err}
	}
	done := make(chan result, 1)
	go func() {
		body, err := io.ReadAll(io.LimitReader(from, MaxBody+1))
		done <- result{body, err}
	}()
	select {
	case r := <-done:
		from.Close()
		if r.err != nil {
			return nil, fmt.Errorf("plankrouter: request: body: %w", r.err)
		}
		return r.body, nil
	case <-ctx.Done():
		go from.Close()
		return nil, &CancelledError{Cause: ctx.Err()}
	}
}
