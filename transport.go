package plankrouter

import (
	"bytes"
	"context"
	"errors"
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
// case, and neither changes nor keeps the request. Errors are those of Do.
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
	resp := &http.Response{StatusCode: answer.Status, Status: fmt.Sprintf("%d %s", answer.Status, http.StatusText(answer.Status)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: answer.Header, ContentLength: int64(len(answer.Body)),
		Body: io.NopCloser(bytes.NewReader(answer.Body)), Request: req}
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
	if req.Body != nil {
		defer req.Body.Close()
	}
	switch {
	case req.URL == nil:
		return nil, &RequestError{"URL", "missing"}
	case req.URL.Scheme != "http":
		return nil, &RequestError{"URL.Scheme", fmt.Sprintf("%q: only http is served", req.URL.Scheme)}
	case req.ContentLength > MaxBody:
		return nil, ErrTooLarge
	}
	if req.Body != nil {
		var err error
		stop := context.AfterFunc(req.Context(), func() { req.Body.Close() }) // whoever still writes it must not hold this up
		body, err = io.ReadAll(io.LimitReader(req.Body, MaxBody+1))
		stop()
		switch cause := req.Context().Err(); {
		case cause != nil:
			return nil, &CancelledError{Cause: cause}
		case err != nil:
			return nil, fmt.Errorf("plankrouter: request: body: %w", err)
		}
		if len(body) > MaxBody {
			return nil, ErrTooLarge
		}
	}
	header := req.Header
	if host := or(req.Host, req.URL.Host); host != "" {
		if header = header.Clone(); header == nil {
			header = http.Header{}
		}
		header["Host"] = []string{host}
	}
	return &Request{Class: or(ClassOf(req.Context()), t.Class), Tenant: or(TenantOf(req.Context()), t.Tenant),
		Method: req.Method, Target: req.URL.RequestURI(), Header: header, Body: body}, nil
}

// once reports whether the class must not run twice.
func (b *Balancer) once(class string) bool { return b.set.Classes[b.classes[class]].Repeat == Once }

// IsRefused reports whether err says that trying again is harmless.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
