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

// Transport is an http.RoundTripper that sends requests through a Balancer, whatever host their URL names; the URL's host goes along as
// the Host. Only http URLs are taken: there is no TLS to the servers.
//
// The class and the tenant of a request are those that WithClass and WithTenant put into its context, else those of the
// Transport. A request of a non-idempotent class is never sent again by a Transport, and a redirect that would make http.Client
// send it again (307, 308) fails it.
type Transport struct {
	Balancer      *Balancer
	Class, Tenant string
}

type contextKey uint8

const (
	classKey contextKey = iota
	tenantKey
)

// WithClass returns a context under which a Transport's requests belong to the class of that name.
func WithClass(ctx context.Context, class string) context.Context {
	return context.WithValue(ctx, classKey, class)
}

// WithTenant returns a context under which a Transport's requests are that tenant's.
func WithTenant(ctx context.Context, tenant string) context.Context {
	return context.WithValue(ctx, tenantKey, tenant)
}

// ClassOf returns the class that WithClass has put into ctx; "" = none.
func ClassOf(ctx context.Context) string { return valueOf(ctx, classKey) }

// TenantOf returns the tenant that WithTenant has put into ctx; "" = none.
func TenantOf(ctx context.Context) string { return valueOf(ctx, tenantKey) }

func valueOf(ctx context.Context, key contextKey) string {
	s, _ := ctx.Value(key).(string)
	return s
}

// RoundTrip sends the request and returns the response, whose body is there as a whole. It closes the request's body in every
// case, and neither changes nor keeps the request. Errors are those of Do, and one of a body that can't be read.
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
		return nil, fmt.Errorf("a redirect would send a request of class %q again: %w", r.Class, &FailedError{MayHaveRun: true})
	}
	return response.toHTTP(req), nil
}

// toHTTP converts the response to req.
func (r *Response) toHTTP(req *http.Request) *http.Response {
	resp := &http.Response{
		StatusCode: r.Status, Status: fmt.Sprintf("%d %s", r.Status, http.StatusText(r.Status)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header, ContentLength: int64(len(r.Body)),
		Body: io.NopCloser(bytes.NewReader(r.Body)), Request: req,
	}
	if len(r.Body) == 0 {
		resp.Body = http.NoBody
	}
	if length := r.Header.Get("Content-Length"); length != "" { // of a response to HEAD, which has no body
		if n, err := strconv.ParseInt(length, 10, 64); err == nil {
			resp.ContentLength = n
		}
	}
	return resp
}

// toRequest converts the request, and closes its body.
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

// checkSendable returns an error for what a Transport can't send, before the body is read.
func checkSendable(req *http.Request) error {
	switch {
	case req.URL == nil:
		return &RequestError{"URL", "missing"}
	case req.URL.Scheme != "http":
		return &RequestError{"URL.Scheme", fmt.Sprintf("%q: only http is served", req.URL.Scheme)}
	case req.ContentLength > MaxBody:
		return ErrTooLarge
	}
	return nil
}

// readBody reads a body to its end, or to more than MaxBody, until ctx ends: whoever still writes it must not hold this
// up, and neither its Close need end a read, nor a read let it close.
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
