package middlewaretest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"plankrouter"
	"plankrouter/middleware"
)

var largestBody = strings.Repeat("x", plankrouter.MaxBody)

// respondAfter responds with 200 after d, unless the request is cancelled before.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			fmt.Fprint(w, "late")
		case <-r.Context().Done():
		}
	}
}

func panicking(*http.Request) string { panic("boom") }

// teapot responds with 418 and the error's text.
func teapot(w http.ResponseWriter, _ *http.Request, err error) {
	w.WriteHeader(http.StatusTeapot)
	fmt.Fprint(w, err.Error())
}

// cancelAfter returns a wrapper that cancels each request's context after d.
func cancelAfter(d time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			defer time.AfterFunc(d, cancel).Stop()
			defer cancel()
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

func withoutServers(o *plankrouter.Options) { o.Endpoints = nil }

// overQuota changes the options to no servers, and to a quota for the tenant acme that its first five requests use up.
func overQuota(o *plankrouter.Options) {
	o.Endpoints, o.MaxRetryAfter = nil, 2100*ms
	o.Tenants = []plankrouter.Tenant{{Name: "acme", QuotaPerSecond: 1e-6}}
}

func cancelled(s plankrouter.Stats) bool { return s.Cancelled == 1 && s.Served == 0 }

var handlerRows = []row{
	{
		name: "served", request: "GET /tile/a%2Fb?z=3&q=%20 HTTP/1.1\nAccept: image/png\nAccept: */*",
		serverHandler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Content-Type"] = nil
			w.Header()["X-Made"] = []string{"a", "b"}
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("Srv-Load", `{"active":1}`)
			w.WriteHeader(http.StatusNonAuthoritativeInfo)
			fmt.Fprint(w, "<html>")
		},
		status: 203, body: "<html>",
		responseHeader: map[string]string{
			"X-Made": "a|b", "X-Hop": "", "Connection": "", "Content-Type": "",
			"Content-Length": "6", "Srv-Load": "",
		},
		serverRequest: map[string]string{"line": "GET /tile/a%2Fb?z=3&q=%20", "Accept": "image/png|*/*", "X-Forwarded-For": ""},
	},
	{
		name: "body and headers", request: "POST /order/7 HTTP/1.1\nContent-Type: text/plain\nX-Hop: 1\nX-Kept: 1\n" +
			"Connection: keep-alive, x-hop\nKeep-Alive: 9\nTE: trailers\nProxy-Authorization: p\nUpgrade: websocket\n" +
			"Req-Id: mine\nReq-Owner: acme\n\nprint",
		status: 200, body: "made by the server", serverRequest: map[string]string{
			"line": "POST /order/7", "body": "print",
			"Content-Type": "text/plain", "X-Kept": "1", "X-Hop": "", "Connection": "", "Keep-Alive": "", "Te": "",
			"Proxy-Authorization": "", "Upgrade": "", "Req-Deadline": "1.00", "Req-Owner": "acme",
		},
	},
	{
		name: "status without a body", request: "GET /tile/a HTTP/1.1", status: 404,
		responseHeader: map[string]string{"X-From": "server"},
		serverHandler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-From", "server")
			w.WriteHeader(http.StatusNotFound)
		},
	},
	{name: "HEAD", request: "HEAD /tile/a HTTP/1.1", status: 200, serverRequest: map[string]string{"line": "HEAD /tile/a"}},
	{
		name: "not modified", request: "GET /tile/a HTTP/1.1\nIf-None-Match: \"e\"", status: 304,
		responseHeader: map[string]string{"Etag": `"e"`, "Content-Type": ""},
		serverHandler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"e"`)
			w.WriteHeader(http.StatusNotModified)
		},
	},
	{
		name: "largest body", request: "POST /order/7 HTTP/1.1\n\n" + largestBody, status: 200,
		serverRequest: map[string]string{"body": largestBody},
	},
	{
		name: "body too large", request: "POST /order/7 HTTP/1.1\n\n" + largestBody + "x", status: 413,
		serverRequest: map[string]string{"line": ""},
	},
	{
		name: "chunked body too large, without an end", status: 413, serverRequest: map[string]string{"line": ""},
		request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\n20000\r\n" + largestBody + "x",
	},
	{
		name: "chunked body", status: 200, serverRequest: map[string]string{"body": "print", "Transfer-Encoding": ""},
		request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\n5\r\nprint\r\n0\r\n\r\n",
	},
	{name: "bad chunk", status: 400, request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\nzz\r\n"},
	{name: "incomplete body", status: 408, request: "POST /order/7 HTTP/1.1\nContent-Length: 9\n\nprint"},

	{name: "unknown class", request: "GET /nothing/a HTTP/1.1", status: 404, serverRequest: map[string]string{"line": ""}},
	{
		name: "class from the options", request: "GET /any HTTP/1.1", status: 200,
		options:       middleware.Options{Class: middleware.Always("order")},
		serverRequest: map[string]string{"Req-Deadline": "1.00"},
	},
	{
		name: "empty class", request: "GET /any HTTP/1.1", status: 200,
		options: middleware.Options{Class: middleware.Always("")}, serverRequest: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "class from the context", request: "GET /any HTTP/1.1", status: 200,
		serverRequest: map[string]string{"Req-Deadline": "1.00"},
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(w, r.WithContext(plankrouter.WithClass(r.Context(), "order")))
			})
		},
	},
	{
		name: "host set by a wrapper", request: "GET /tile/a HTTP/1.1", status: 200,
		serverRequest: map[string]string{"Host": "tiles.internal"},
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Header.Set("Host", "tiles.internal")
				next.ServeHTTP(w, r)
			})
		},
	},

	{
		name: "forwarded headers unchanged", request: "GET /tile/a HTTP/1.1\nX-Forwarded-For: 9.9.9.9\nX-Forwarded-Proto: https",
		status:        200,
		serverRequest: map[string]string{"X-Forwarded-For": "9.9.9.9", "X-Forwarded-Proto": "https", "X-Forwarded-Host": ""},
	},
	{
		name: "forwarded headers replaced", options: middleware.Options{Forwarded: true}, status: 200,
		request: "GET /tile/a HTTP/1.1\nX-Forwarded-For: 9.9.9.9\nForwarded: for=9.9.9.9\nX-Hop: 1\n" +
			"Connection: X-Forwarded-Host, X-Hop",
		serverRequest: map[string]string{
			"X-Forwarded-For": "127.0.0.1", "X-Forwarded-Host": "app.example",
			"X-Forwarded-Proto": "http", "Forwarded": "", "X-Hop": "",
		},
	},

	{
		name: "deadline trusted", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 0.5",
		status:  200, serverRequest: map[string]string{"Req-Deadline": "0.50", "X-Wait": ""},
	},
	{
		name: "deadline not trusted", request: "GET /tile/a HTTP/1.1\nX-Wait: nonsense\nReq-Deadline: 0.1", status: 200,
		serverRequest: map[string]string{"Req-Deadline": "2.50", "X-Wait": "nonsense"},
	},
	{
		name: "deadline longer than the class's", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1e300", status: 200, serverRequest: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "deadline passed", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1e-300", status: 504, serverRequest: map[string]string{"line": ""},
	},
	{
		name: "client's deadline passes, idempotent class", options: middleware.Options{DeadlineHeader: "X-Wait"},
		serverHandler: respondAfter(time.Second), request: "GET /tile/a HTTP/1.1\nX-Wait: 0.1", status: 504,
		responseHeader: map[string]string{"Retry-After": ""},
	},
	{name: "class's deadline passes", serverHandler: respondAfter(time.Second), request: "GET /order/a HTTP/1.1", status: 502},
	{
		name: "client's deadline passes, non-idempotent class", options: middleware.Options{DeadlineHeader: "X-Wait"}, serverHandler: respondAfter(time.Second),
		request: "GET /order/a HTTP/1.1\nX-Wait: 0.1", status: 504,
	},
	{
		name: "wrapper's deadline passed", request: "GET /tile/a HTTP/1.1", status: 504,
		serverRequest: map[string]string{"line": ""},
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithDeadline(r.Context(), time.Now())
				defer cancel()
				next.ServeHTTP(w, r.WithContext(ctx))
			})
		},
	},
	{
		name: "bad deadline", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: soon",
		status:  400, serverRequest: map[string]string{"line": ""},
	},

	{
		name: "same id open", options: middleware.Options{IDHeader: "X-Id"}, request: "GET /tile/a HTTP/1.1\nX-Id: 7",
		requestsBefore: 1,
		serverHandler:  respondAfter(100 * ms), status: 409, serverRequest: map[string]string{"Req-Id": "7", "X-Id": ""},
	},
	{
		name: "same id not trusted", request: "GET /tile/a HTTP/1.1\nReq-Id: 7", requestsBefore: 1, serverHandler: respondAfter(100 * ms),
		status: 200,
	},
	{
		name: "two different ids", options: middleware.Options{IDHeader: "X-Id"}, request: "GET /tile/a HTTP/1.1\nX-Id: 7\nX-Id: 8",
		status: 400,
	},

	{
		name: "refused", balancer: withoutServers, request: "GET /tile/a HTTP/1.1", status: 503,
		responseHeader: map[string]string{"Retry-After": "1"},
		body:           "Service Unavailable\n",
	},
	{
		name: "rejected beyond the quota", balancer: overQuota, request: "GET /tile/a HTTP/1.1\nX-Tenant: acme", status: 503,
		options: middleware.Options{TenantHeader: "X-Tenant"}, responseHeader: map[string]string{"Retry-After": "3"}, requestsBefore: 5,
	},
	{
		name: "rejected beyond the quota of the context's tenant", balancer: overQuota, request: "GET /tile/a HTTP/1.1",
		status: 503, responseHeader: map[string]string{"Retry-After": "3"}, requestsBefore: 5,
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(w, r.WithContext(plankrouter.WithTenant(r.Context(), "acme")))
			})
		},
	},
	{
		name: "failed, idempotent class", request: "GET /tile/a HTTP/1.1", status: 503,
		responseHeader: map[string]string{"Retry-After": "1"},
		serverHandler:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	},
	{
		name: "failed", request: "POST /order/7 HTTP/1.1", status: 502, body: "Bad Gateway\n",
		serverHandler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	},
	{
		name: "closed", balancerClosed: true, request: "GET /tile/a HTTP/1.1", status: 503,
		responseHeader: map[string]string{"Retry-After": ""},
	},
	{name: "CONNECT", request: "CONNECT /tile/a HTTP/1.1", status: 501},
	{
		name: "application's error function", options: middleware.Options{Error: teapot}, balancerClosed: true,
		request: "GET /tile/a HTTP/1.1",
		status:  418, body: plankrouter.ErrClosed.Error(),
	},

	{
		name: "client leaves", request: "GET /tile/a HTTP/1.1", serverHandler: respondAfter(time.Second), clientLeavesAfter: 50 * ms, status: noResponse,
		stats: cancelled,
	},
	{
		name: "cancelled by a wrapper", request: "GET /tile/a HTTP/1.1", serverHandler: respondAfter(time.Second),
		wrap:    cancelAfter(50 * ms),
		options: middleware.Options{Error: teapot}, status: noResponse, stats: cancelled,
	},

	{
		name: "class panics", options: middleware.Options{Class: panicking}, request: "GET /tile/a HTTP/1.1", status: 500,
		logged: "boom",
	},
	{
		name: "tenant panics", options: middleware.Options{Tenant: panicking}, request: "GET /tile/a HTTP/1.1", status: 500,
		logged: "boom",
	},
	{
		name: "class aborts", request: "GET /tile/a HTTP/1.1", status: noResponse,
		options: middleware.Options{Class: func(*http.Request) string { panic(http.ErrAbortHandler) }},
	},
	{
		name: "panic passed to the application's error function", request: "GET /tile/a HTTP/1.1", status: 418, logged: "boom",
		options: middleware.Options{Class: panicking, Error: func(w http.ResponseWriter, r *http.Request, err error) {
			if p := new(middleware.PanicError); errors.As(err, &p) && p.Value == "boom" && len(p.Stack) > 0 {
				teapot(w, r, err)
			}
		}},
	},
	{
		name: "error function panics", balancerClosed: true, request: "GET /tile/a HTTP/1.1", status: 500, logged: "boom",
		options: middleware.Options{Error: func(http.ResponseWriter, *http.Request, error) { panic("boom") }},
	},
	{
		name: "error function panics in mid-response", responseCutShort: true, balancerClosed: true, request: "GET /tile/a HTTP/1.1", status: noResponse,
		logged: "boom",
		options: middleware.Options{Error: func(w http.ResponseWriter, r *http.Request, err error) {
			teapot(w, r, err)
			panic("boom")
		}},
	},
}

// allClaims takes class, tenant and deadline from the request.
var allClaims = middleware.Options{Class: middleware.FirstSegment, TenantHeader: "X-Tenant", DeadlineHeader: "X-Wait"}

var middlewareRows = []row{
	{
		name: "middleware/all", throughMiddleware: true, options: allClaims,
		request: "GET /order/a HTTP/1.1\nX-Tenant: acme\nX-Wait: 0.5",
		status:  200, body: "order,acme,500ms",
		serverRequest: map[string]string{"Req-Deadline": "0.50", "Host": "tiles.internal"},
	},
	{
		name: "middleware/nothing", throughMiddleware: true, request: "GET /order/a HTTP/1.1\nX-Tenant: acme\nX-Wait: no number",
		status: 200,
		body:   ",,no deadline", serverRequest: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "middleware/tenant from a function", throughMiddleware: true, request: "GET /any HTTP/1.1", status: 200,
		body:    ",from the token,no deadline",
		options: middleware.Options{Tenant: func(*http.Request) string { return "from the token" }},
	},
	{
		name: "middleware/two tenants", throughMiddleware: true, options: allClaims, status: 400,
		request: "GET /tile/a HTTP/1.1\nX-Tenant: acme\nX-Tenant: umbra",
	},
	{
		name: "middleware/one tenant twice", throughMiddleware: true, options: allClaims, status: 200, body: "tile,acme,no deadline",
		request: "GET /tile/a HTTP/1.1\nX-Tenant: acme\nX-Tenant: acme",
	},
	{
		name: "middleware/unknown class", throughMiddleware: true, options: allClaims, request: "GET /nothing/a HTTP/1.1",
		status: 404,
	},
	{
		name: "middleware/deadline cut to a day", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: 1e300",
		status: 200, body: "tile,,24h0m0s",
	},
	{
		name: "middleware/negative", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: -1",
		status: 400,
	},
	{
		name: "middleware/zero", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: 0",
		status: 400,
	},
	{
		name: "middleware/infinite", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: Inf",
		status: 400,
	},
	{
		name: "middleware/out of range", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: 1e999",
		status: 400,
	},
	{
		name: "middleware/not a number", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait: NaN",
		status: 400,
	},
	{name: "middleware/empty", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1\nX-Wait:", status: 400},
	{
		name: "middleware/two deadlines", throughMiddleware: true, options: allClaims,
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1\nX-Wait: 2",
		status:  400,
	},
	{
		name: "middleware/application's error function", throughMiddleware: true, request: "GET /tile/a HTTP/1.1\nX-Wait: soon",
		status:  418,
		options: middleware.Options{DeadlineHeader: "X-Wait", Error: teapot},
		body:    `plankrouter: request: X-Wait: "soon" is not a number of seconds above 0`,
	},
	{
		name: "middleware/class panics", throughMiddleware: true, options: middleware.Options{Class: panicking},
		request: "GET /tile/a HTTP/1.1",
		status:  500, logged: "boom",
	},
	{
		name: "middleware/client leaves", throughMiddleware: true, options: allClaims, request: "GET /tile/a HTTP/1.1",
		serverHandler:     respondAfter(time.Second),
		clientLeavesAfter: 50 * ms, status: noResponse, stats: cancelled,
	},
}
