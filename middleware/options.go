// Package middleware puts a plankrouter.Balancer to work in an application that serves HTTP by net/http.
//
// Handler serves routes of the application by the servers of a Balancer; Middleware tells the calls that the
// application makes for a request, through a plankrouter.Transport, what class, tenant and deadline that request has.
// What either of them takes from the client's word is named in Options, and nothing is unless it is named there.
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
	"plankrouter"
	"plankrouter/internal/http1"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

// Options say what is read from a request that comes in, and what is made of it. The zero value trusts no header. The
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
	// head of the request has been read. "" = nobody's word is taken, and the class's deadline counts alone. What is
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
	// what they say of themselves in these and in Forwarded does not count. Else all four are passed on as they came,
	// as is right behind a proxy.
	Forwarded bool
}

// longest is how long a client may say that it waits.
const longest = 24 * time.Hour

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

// check names the option that makes no sense.
func (o *Options) check() error {
	bad := func(option, why string) error { return &plankrouter.OptionError{Option: option, Reason: why} }
	seen := map[string]bool{}
	for _, h := range []struct{ option, name string }{
		{"TenantHeader", o.TenantHeader}, {"DeadlineHeader", o.DeadlineHeader}, {"IDHeader", o.IDHeader},
	} {
		key := http.CanonicalHeaderKey(h.name)
		switch {
		case h.name == "":
			continue
		case !http1.ValidField(h.name, ""):
			return bad(h.option, fmt.Sprintf("%q is not the name of a header", h.name))
		case key == "Host":
			return bad(h.option, "net/http keeps Host elsewhere; a function can read it from there")
		case seen[key]:
			return bad(h.option, fmt.Sprintf("%q has another meaning already", h.name))
		}
		seen[key] = true
	}
	if o.Tenant != nil && o.TenantHeader != "" {
		return bad("TenantHeader", "there is a Tenant too; give one of them")
	}
	return nil
}

// word is what a request says of itself.
type word struct {
	class, tenant, id string
	within            time.Duration // 0 = it does not say
}

// read reads the request. The error is a *plankrouter.RequestError or a *PanicError.
func (o *Options) read(r *http.Request) (said word, err error) {
	defer func() { err = caught(recover(), err) }()
	if o.Class != nil {
		said.class = o.Class(r)
	}
	if o.Tenant != nil {
		said.tenant = o.Tenant(r)
	}
	var within string
	for _, h := range []struct {
		name string
		to   *string
	}{{o.TenantHeader, &said.tenant}, {o.IDHeader, &said.id}, {o.DeadlineHeader, &within}} {
		if h.name == "" {
			continue
		}
		for i, v := range r.Header.Values(h.name) {
			if i > 0 && v != *h.to {
				return said, &plankrouter.RequestError{Field: h.name, Reason: "given twice, with different values"}
			}
			*h.to = v
		}
	}
	if o.DeadlineHeader != "" && len(r.Header.Values(o.DeadlineHeader)) > 0 {
		s, bad := strconv.ParseFloat(within, 64)
		if bad != nil || !(s > 0) || math.IsInf(s, 0) {
			return said, &plankrouter.RequestError{
				Field:  o.DeadlineHeader,
				Reason: fmt.Sprintf("%q is not a number of seconds above 0", within),
			}
		}
		said.within = max(1, time.Duration(min(s, longest.Seconds())*float64(time.Second)))
	}
	return said, nil
}

// under returns ctx with the deadline that the request has named.
func (w *word) under(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.within == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, w.within)
}

// caught turns a recovered panic into an error.
func caught(p any, err error) error {
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
