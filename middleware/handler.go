package middleware

import (
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"plankrouter"
)

// Handler returns a handler that forwards each request to one of b's servers, with one call of Balancer.Do under the request's
// context. The error is a *plankrouter.OptionError.
//
// Method, path, query, body (up to plankrouter.MaxBody) and end-to-end headers are forwarded unchanged. Hop-by-hop headers,
// such as those that Connection names, are not, and Upgrade is not supported. The Host is the server's address, unless a
// handler that wraps this one sets a Host in the request's Header. The server's status, headers and body are returned
// unchanged. For an error of Do, the response is written by Options.Error or WriteError. If the request was cancelled, which
// means that its client is gone, nothing is written: the handler panics with http.ErrAbortHandler, at which net/http closes
// the connection without a response. Without the panic, net/http would send a 200.
//
// Whether a request may run twice depends on its class, not on its method: route to a handler of an idempotent class only
// methods that may run twice, for instance with the pattern "GET /tile/".
func Handler(b *plankrouter.Balancer, o Options) (http.Handler, error) {
	if b == nil {
		return nil, &plankrouter.OptionError{Option: "Balancer", Reason: "missing"}
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &handler{b, o}, nil
}

type handler struct {
	balancer *plankrouter.Balancer
	options  Options
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, err := h.do(w, r)
	if err != nil {
		h.options.respondError(w, r, err)
		return
	}
	head := w.Header()
	for name, values := range response.Header {
		head[name] = append(head[name], values...)
	}
	if _, given := head["Content-Type"]; !given {
		head["Content-Type"] = nil // keeps net/http from guessing one
	}
	if len(response.Body) > 0 {
		head.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails if the client is gone
}

func (h *handler) do(w http.ResponseWriter, r *http.Request) (*plankrouter.Response, error) {
	claimed, err := h.options.parseClaims(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := claimed.withTimeout(r.Context())
	defer cancel()
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	if h.options.Class == nil {
		if claimed.class = plankrouter.ClassOf(ctx); claimed.class == "" {
			claimed.class = FirstSegment(r)
		}
	}
	if h.options.Tenant == nil && h.options.TenantHeader == "" {
		claimed.tenant = plankrouter.TenantOf(ctx)
	}
	return h.balancer.Do(ctx, &plankrouter.Request{
		Class: claimed.class, Tenant: claimed.tenant, ID: claimed.id,
		Method: r.Method, Target: r.URL.RequestURI(), Header: h.header(r), Body: body,
	})
}

// header returns the headers to forward; Do removes the hop-by-hop ones.
func (h *handler) header(r *http.Request) http.Header {
	if h.options.DeadlineHeader == "" && h.options.IDHeader == "" && !h.options.Forwarded {
		return r.Header
	}
	out := r.Header.Clone()
	out.Del(h.options.DeadlineHeader) // deadline and id are set for each attempt
	out.Del(h.options.IDHeader)
	if !h.options.Forwarded {
		return out
	}
	// The headers that Connection names are removed before X-Forwarded-* are set, or a client could have those removed.
	for _, line := range out["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Forwarded", "X-Forwarded-For", "X-Forwarded-Host",
		"X-Forwarded-Proto",
	} {
		out.Del(name)
	}
	proxied := httputil.ProxyRequest{In: r, Out: &http.Request{Header: out}}
	proxied.SetXForwarded()
	return out
}
