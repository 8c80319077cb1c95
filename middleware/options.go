// Package middleware connects a plankrouter.Balancer to an application that serves HTTP with net/http.
//
// Handler forwards requests to the servers of a Balancer. Middleware puts a request's class, tenant and deadline into its
// context, so that they apply to the requests that the application sends under it through a plankrouter.Transport. Of the
// client's headers, only those named in Options are trusted.
//
//	tiles, err := middleware.Handler(b, middleware.Options{Class: middleware.Always("tile")})
//	...
//	mux.Handle("GET /tile/", tiles)
//
// Adapters for frameworks wrap these two functions and are tested with package middlewaretest.
package middleware

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"plankrouter"
	"plankrouter/internal/http1"
)

// Options say how the class, tenant, deadline and id of an incoming request are determined, and how errors are handled. The zero
// value trusts no header. The functions must be safe for concurrent use. If one of them panics, the response is a 500 and the
// panic is logged by the http.Server's logger; a panic with http.ErrAbortHandler is passed on.
type Options struct {
	// Class returns the name of the request's class. nil: a Handler takes the class that plankrouter.WithClass put into the
	// request's context, else FirstSegment; a Middleware leaves the context unchanged. "" is the Balancer's first class for a
	// Handler, and leaves the context unchanged for a Middleware.
	Class func(*http.Request) string

	// Tenant returns the name of the request's tenant, for instance from a verified token. TenantHeader is the header that has
	// the name. At most one of the two may be set. Without either, a Handler takes the tenant that plankrouter.WithTenant put
	// into the context. A name that the Balancer does not know counts as no tenant.
	Tenant       func(*http.Request) string
	TenantHeader string

	// DeadlineHeader is the header with the client's timeout in seconds, as a decimal number, counted from when the request's
	// headers were read. "" = only the class's deadline applies. If the value is not a number, is not above 0 or is infinite,
	// the response is a 400; a timeout of more than a day counts as a day.
	DeadlineHeader string

	// Error writes the response for err, in place of WriteError; nil = WriteError. The function Status returns the status that
	// WriteError would send. Error is not called for a cancelled request.
	Error func(w http.ResponseWriter, r *http.Request, err error)

	// The fields below apply to a Handler only.

	// IDHeader is the header with the request's id. A request with the id of an open request fails (409); one without the
	// header gets a random id. "" = every request gets a random id.
	IDHeader string

	// Forwarded sets X-Forwarded-For, X-Forwarded-Host and X-Forwarded-Proto from the client's connection and drops what the
	// client sent in these and in Forwarded. It is for clients that connect directly. If false, all four headers are forwarded
	// unchanged, as is right behind a proxy.
	Forwarded bool
}

// maxClientTimeout is the largest timeout that a client may ask for; longer ones are shortened to it.
const maxClientTimeout = 24 * time.Hour

// ErrBody is wrapped by the error for a request body that could not be read.
var ErrBody = errors.New("plankrouter: request: its body could not be read")

// PanicError reports a panic in a function in Options.
type PanicError struct {
	Value any    // the value that it panicked with
	Stack []byte // the stack trace, as from debug.Stack
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("plankrouter: a function in Options panicked: %v", e.Value)
}

// FirstSegment is a function for Options.Class: it returns the first segment of the path, as the daemon does.
func FirstSegment(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return first
}

// Always returns a function for Options.Class that always returns class.
func Always(class string) func(*http.Request) string {
	return func(*http.Request) string { return class }
}

func invalidOption(option, reason string) error {
	return &plankrouter.OptionError{Option: option, Reason: reason}
}

// validate returns a *plankrouter.OptionError for the first invalid option.
func (o *Options) validate() error {
	seen := map[string]bool{}
	for _, h := range []struct{ option, name string }{
		{"TenantHeader", o.TenantHeader}, {"DeadlineHeader", o.DeadlineHeader}, {"IDHeader", o.IDHeader},
	} {
		key := http.CanonicalHeaderKey(h.name)
		switch {
		case h.name == "":
			continue
		case !http1.ValidField(h.name, ""):
			return invalidOption(h.option, fmt.Sprintf("%q is not a valid header name", h.name))
		case key == "Host":
			return invalidOption(h.option, "net/http does not keep Host in the header; use a function that reads Request.Host")
		case seen[key]:
			return invalidOption(h.option, fmt.Sprintf("%q is already used by another option", h.name))
		}
		seen[key] = true
	}
	if o.Tenant != nil && o.TenantHeader != "" {
		return invalidOption("TenantHeader", "Tenant is set as well; set only one of them")
	}
	return nil
}

// claims are what the options read from a request; "" = not read, or missing in the request.
type claims struct {
	class, tenant, id string
	timeout           time.Duration // 0 = none
}

// parseClaims reads what the options name from the request. The error is a *plankrouter.RequestError or a *PanicError.
func (o *Options) parseClaims(r *http.Request) (claimed claims, err error) {
	defer func() { err = panicError(recover(), err) }()
	if o.Class != nil {
		claimed.class = o.Class(r)
	}
	if o.Tenant != nil {
		claimed.tenant = o.Tenant(r)
	}
	var timeout string
	for _, header := range []struct {
		name  string
		value *string
	}{{o.TenantHeader, &claimed.tenant}, {o.IDHeader, &claimed.id}, {o.DeadlineHeader, &timeout}} {
		if header.name == "" {
			continue
		}
		if err := readHeader(r, header.name, header.value); err != nil {
			return claimed, err
		}
	}
	if o.DeadlineHeader != "" && len(r.Header.Values(o.DeadlineHeader)) > 0 {
		claimed.timeout, err = parseTimeout(o.DeadlineHeader, timeout)
	}
	return claimed, err
}

// readHeader stores the header's value in value, or leaves value unchanged if the request does not have the header. A header
// that has several different values is an error.
func readHeader(r *http.Request, name string, value *string) error {
	for i, v := range r.Header.Values(name) {
		if i > 0 && v != *value {
			return &plankrouter.RequestError{Field: name, Reason: "repeated with different values"}
		}
		*value = v
	}
	return nil
}

// parseTimeout parses the value of the header of that name, in seconds.
func parseTimeout(header, value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, &plankrouter.RequestError{Field: header, Reason: fmt.Sprintf("%q is not a number of seconds above 0", value)}
	}
	return max(1, time.Duration(min(seconds, maxClientTimeout.Seconds())*float64(time.Second))), nil
}

// withTimeout returns ctx with the request's timeout, or ctx itself if it has none.
func (c *claims) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.timeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

// panicError returns a *PanicError for p, a recovered value, or err if p is nil. If p is http.ErrAbortHandler, it panics with it
// again.
func panicError(p any, err error) error {
	switch p {
	case nil:
		return err
	case http.ErrAbortHandler:
		panic(p)
	}
	return &PanicError{p, debug.Stack()}
}

// readBody reads the request's body. A body larger than plankrouter.MaxBody is plankrouter.ErrTooLarge.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	switch {
	case r.ContentLength == 0 || r.Body == nil:
		return nil, nil
	case r.ContentLength > plankrouter.MaxBody:
		return nil, plankrouter.ErrTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, plankrouter.MaxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, plankrouter.ErrTooLarge
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBody, err)
	}
	return body, nil
}
