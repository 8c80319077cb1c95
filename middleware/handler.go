package middleware

import (
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"plankrouter"
)

// Handler returns a handler that serves each request by one of b's servers, with one Do under the request's context. An
// error is a *plankrouter.OptionError.
//
// Method, path, query, body (up to plankrouter.MaxBody) and end-to-end headers go to the server as they came; those of
// one connection, which Connection names among others, do not, and Upgrade is not served. The Host is the server's
// address, unless a handler around this one puts a Host into the request's Header. The server's response goes back with
// its status, its headers and its body unchanged. What else Do may end in is answered by Options.Error or WriteError.
// Where the request was cancelled, which is to say that its client is gone, nothing is written: the handler panics with
// http.ErrAbortHandler, by which net/http ends the connection without a response; were it to return, net/http would make
// that a 200.
//
// A class says whether its requests may run twice, not their method: where a class of idempotent requests is served, route to
// it only methods that may run twice, as by the pattern "GET /tile/".
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
		head["Content-Type"] = nil // else net/http would guess one
	}
	if len(response.Body) > 0 {
		head.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails where the client has gone
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

// header returns what goes to the server; Do leaves out what is of one connection.
func (h *handler) header(r *http.Request) http.Header {
	if h.options.DeadlineHeader == "" && h.options.IDHeader == "" && !h.options.Forwarded {
		return r.Header
	}
	out := r.Header.Clone()
	out.Del(h.options.DeadlineHeader) // both are written anew for each attempt
	out.Del(h.options.IDHeader)
	if !h.options.Forwarded {
		return out
	}
	// What Connection names goes first, or a client could take out by it what is written here.
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
