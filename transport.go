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

// Transport is an http.RoundTripper that sends requests through a Balancer, whatever host their URL names; that goes along as
// the Host. Only http URLs are taken: there is no TLS to the servers.
//
// The class and the tenant of a request are those that WithClass and WithTenant put into its context, else those of the
// Transport. A request of a class that must not run twice is never sent again by a Transport, and a redirect that would make
// http.Client send it again (307, 308) fails it.
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

// ClassOf and TenantOf return what WithClass and WithTenant have put into ctx; "" = nothing.
func ClassOf(ctx context.Context) string { return valueOf(ctx, classKey) }

// TenantOf is ClassOf for the tenant.
func TenantOf(ctx context.Context) string { return valueOf(ctx, tenantKey) }

func valueOf(ctx context.Context, key contextKey) string {
	s, _ := ctx.Value(key).(string)
	return s
}

// RoundTrip sends the request and returns the answer, whose body is there as a whole. It closes the request's body in every
// case, and neither changes nor keeps the request. Errors are those of Do, and one of a body that can't be read.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	r, err := t.word(req)
	if err != nil {
		return nil, err
	}
	answer, err := t.Balancer.Do(req.Context(), r)
	if err != nil {
		return nil, err
	}
	if again := answer.Status == http.StatusTemporaryRedirect || answer.Status == http.StatusPermanentRedirect; again &&
		t.Balancer.once(r.Class) {
		return nil, fmt.Errorf("a redirect would send a request of class %q again: %w", r.Class, &FailedError{MayHaveRun: true})
	}
	resp := &http.Response{
		StatusCode: answer.Status, Status: fmt.Sprintf("%d %s", answer.Status, http.StatusText(answer.Status)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: answer.Header, ContentLength: int64(len(answer.Body)),
		Body: io.NopCloser(bytes.NewReader(answer.Body)), Request: req,
	}
	if len(answer.Body) == 0 {
		resp.Body = http.NoBody
	}
	if length := answer.Header.Get("Content-Length"); length != "" { // of an answer to HEAD, which has no body
		if n, err := strconv.ParseInt(length, 10, 64); err == nil {
			resp.ContentLength = n
		}
	}
	return resp, nil
}

// word reads the request, and closes its body.
func (t *Transport) word(req *http.Request) (*Request, error) {
	var body []byte
	var err error
	switch {
	case req.URL == nil:
		err = &RequestError{"URL", "missing"}
	case req.URL.Scheme != "http":
		err = &RequestError{"URL.Scheme", fmt.Sprintf("%q: only http is served", req.URL.Scheme)}
	case req.ContentLength > MaxBody:
		err = ErrTooLarge
	}
	if err != nil {
		if req.Body != nil {
			req.Body.Close()
		}
		return nil, err
	}
	if req.Body != nil && req.Body != http.NoBody {
		if body, err = readBody(req.Context(), req.Body); err != nil {
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
		Class: cmp.Or(ClassOf(req.Context()), t.Class), Tenant: cmp.Or(TenantOf(req.Context()), t.Tenant),
		Method: req.Method, Target: req.URL.RequestURI(), Header: header, Body: body,
	}, nil
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

// once reports whether the class must not run twice.
func (b *Balancer) once(class string) bool { return b.set.Classes[b.classes[class]].Repeat == Once }
