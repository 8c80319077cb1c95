// Package middleware puts a plankrouter.Balancer to work in an application that serves HTTP by net/http.
//
// Handler serves routes of the application by the servers of a Balancer; Middleware tells the calls that the
// application makes for a request, through a plankrouter.Transport, what class, tenant and deadline that request has.
// Of what the client says of itself they take only what Options name.
//
//	tiles, err := middleware.Handler(b, middleware.Options{Class: middleware.Always("tile")})
//	...
//	mux.Handle("GET /tile/", tiles)
//
// Adapters of frameworks are thin over these two, and prove themselves by the table in middlewaretest.
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

// Options say what is read from a request that comes in, and what is made of it. The zero value reads no header. The
// functions are called by many requests at once. A panic of one of them is answered by 500 and goes to the log of the
// http.Server; http.ErrAbortHandler is passed on.
type Options struct {
	// Class names the request's class. nil: for a Handler what plankrouter.WithClass has put into the request's
	// context, else FirstSegment; for a Middleware the request's context stays as it is. A Handler takes "" for the
	// Balancer's first class, a Middleware for none.
	Class func(*http.Request) string

	// Tenant names the request's tenant, from a checked token, say; TenantHeader is the header that does. Only one of
	// them may be given. Without either a Handler takes what plankrouter.WithTenant has put into the context. One that
	// the Balancer does not know counts as none.
	Tenant       func(*http.Request) string
	TenantHeader string

	// DeadlineHeader is the header that says for how long the client waits, in seconds with decimals: from when the
	// head of the request has been read. "" = the class's deadline counts alone. What is
	// not a number, not above 0 or infinite is answered by 400; more than a day counts as one.
	DeadlineHeader string

	// Error answers a request for err, in place of WriteError; Status says what that would have sent. A request that
	// was cancelled does not come here. nil = WriteError.
	Error func(w http.ResponseWriter, r *http.Request, err error)

	// What follows is for a Handler alone.

	// IDHeader is the header with the request's id, of which no two open requests may have the same (409); where it is
	// missing one is drawn. "" = always.
	IDHeader string

	// Forwarded writes X-Forwarded-For, X-Forwarded-Host and X-Forwarded-Proto anew, for clients that connect directly:
	// what they send in these and in Forwarded is dropped. Else all four are passed on as they came,
	// as is right behind a proxy.
	Forwarded bool
}

// maxClientTimeout bounds how long a client may say that it waits.
const maxClientTimeout = 24 * time.Hour

// ErrBody is in the chain of the error by which the request's body could not be read.
var ErrBody = errors.New("plankrouter: request: its body could not be read")

// PanicError is a panic of a function in Options.
type PanicError struct {
	Value any
	Stack []byte
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("plankrouter: a function in Options panicked: %v", e.Value)
}

// FirstSegment is an Options.Class: the first segment of the path, as with the daemon.
func FirstSegment(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return first
}

// Always returns an Options.Class for routes of one class.
func Always(class string) func(*http.Request) string {
	return func(*http.Request) string { return class }
}

func invalidOption(option, reason string) error {
	return &plankrouter.OptionError{Option: option, Reason: reason}
}

// validate returns a *plankrouter.OptionError for the first option that makes no sense.
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
			return invalidOption(h.option, fmt.Sprintf("%q is not the name of a header", h.name))
		case key == "Host":
			return invalidOption(h.option, "net/http keeps Host elsewhere; a function can read it from there")
		case seen[key]:
			return invalidOption(h.option, fmt.Sprintf("%q has another meaning already", h.name))
		}
		seen[key] = true
	}
	if o.Tenant != nil && o.TenantHeader != "" {
		return invalidOption("TenantHeader", "there is a Tenant too; give one of them")
	}
	return nil
}

// claims is what a request says of itself, as far as the options let it.
type claims struct {
	class, tenant, id string
	timeout           time.Duration // 0 = it does not say
}

// parseClaims reads what the request says of itself. The error is a *plankrouter.RequestError or a *PanicError.
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

// readHeader stores the header's one value in value, which it leaves alone where there is none.
func readHeader(r *http.Request, name string, value *string) error {
	for i, v := range r.Header.Values(name) {
		if i > 0 && v != *value {
			return &plankrouter.RequestError{Field: name, Reason: "given twice, with different values"}
		}
		*value = v
	}
	return nil
}

// parseTimeout reads the seconds that the header of that name says.
func parseTimeout(header, value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, &plankrouter.RequestError{Field: header, Reason: fmt.Sprintf("%q is not a number of seconds above 0", value)}
	}
	return max(1, time.Duration(min(seconds, maxClientTimeout.Seconds())*float64(time.Second))), nil
}

// withTimeout returns ctx with the deadline that the request has named.
func (c *claims) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.timeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

// panicError turns a recovered panic into an error.
func panicError(p any, err error) error {
	switch p {
	case nil:
		return err
	case http.ErrAbortHandler:
		panic(p)
	}
	return &PanicError{p, debug.Stack()}
}

// readBody reads the request's body, of at most plankrouter.MaxBody.
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
