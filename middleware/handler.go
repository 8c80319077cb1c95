package middleware

import (
	"net/http"
	"net/http/httputil"
	"plankrouter"
	"strconv"
	"strings"
)

// Handler returns a handler that serves each request by one of b's servers, with one Do under the request's context. An
// error is a *plankrouter.OptionError.
//
// Method, path, query, body (up to plankrouter.MaxBody) and end-to-end headers go to the server as they came; those of
// one connection, which Connection names among others, do not, and Upgrade is not served. The Host is the server's
// address, unless a handler around this one puts a Host into the request's Header. The server's answer goes back with
// its status, its headers and its body unchanged. What else Do may end in is worded by Options.Error or WriteError.
// Where the request was cancelled, which is to say that its client is gone, nothing is written: the handler panics with
// http.ErrAbortHandler, by which net/http ends the connection without a word; were it to return, net/http would make
// that a 200.
//
// A class says whether its requests may run twice, not their method: where a class of idempotent requests is served, route to
// it only methods that may run twice, as by the pattern "GET /tile/".
func Handler(b *plankrouter.Balancer, o Options) (http.Handler, error) {
	if b == nil {
		return nil, &plankrouter.OptionError{Option: "Balancer", Reason: "missing"}
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	return &handler{b, o}, nil
}

type handler struct {
	b   *plankrouter.Balancer
	set Options
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := h.do(w, r)
	if err != nil {
		h.set.fail(w, r, err)
		return
	}
	head := w.Header()
	for name, values := range answer.Header {
		head[name] = append(head[name], values...)
	}
	if _, given := head["Content-Type"]; !given {
		head["Content-Type"] = nil // else net/http would guess one
	}
	if len(answer.Body) > 0 {
		head.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body) // whoever can't be written to is gone
}

func (h *handler) do(w http.ResponseWriter, r *http.Request) (*plankrouter.Response, error) {
	said, err := h.set.read(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := said.under(r.Context())
	defer cancel()
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	if h.set.Class == nil {
		if said.class = plankrouter.ClassOf(ctx); said.class == "" {
			said.class = FirstSegment(r)
		}
	}
	if h.set.Tenant == nil && h.set.TenantHeader == "" {
		said.tenant = plankrouter.TenantOf(ctx)
	}
	return h.b.Do(ctx, &plankrouter.Request{
		Class: said.class, Tenant: said.tenant, ID: said.id,
		Method: r.Method, Target: r.URL.RequestURI(), Header: h.header(r), Body: body,
	})
}

// header returns what goes to the server; Do leaves out what is of one connection.
func (h *handler) header(r *http.Request) http.Header {
	if h.set.DeadlineHeader == "" && h.set.IDHeader == "" && !h.set.Forwarded {
		return r.Header
	}
	out := r.Header.Clone()
	out.Del(h.set.DeadlineHeader) // both are worded anew for each attempt
	out.Del(h.set.IDHeader)
	if !h.set.Forwarded {
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
