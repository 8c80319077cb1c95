package middlewaretest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"plankrouter"
	"plankrouter/middleware"
	"strings"
	"time"
)

var big = strings.Repeat("x", plankrouter.MaxBody)

// after answers 200 so much later, unless whoever asked has gone.
func after(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			io.WriteString(w, "late")
		case <-r.Context().Done():
		}
	}
}

func boom(*http.Request) string { panic("boom") }

// teapot answers every error by 418 and names it.
func teapot(w http.ResponseWriter, _ *http.Request, err error) {
	w.WriteHeader(http.StatusTeapot)
	io.WriteString(w, err.Error())
}

// cancelling gives up requests by itself, so long after they came.
func cancelling(d time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			defer time.AfterFunc(d, cancel).Stop()
			defer cancel()
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

func nobody(o *plankrouter.Options) { o.Endpoints = nil }

// beyond leaves the tenant acme a share that its first five requests use up.
func beyond(o *plankrouter.Options) {
	o.Endpoints, o.MaxRetryAfter = nil, 2100*ms
	o.Tenants = []plankrouter.Tenant{{Name: "acme", QuotaPerSecond: 1e-6}}
}

func cancelled(s plankrouter.Stats) bool { return s.Cancelled == 1 && s.Served == 0 }

var handlerRows = []row{
	{
		name: "served", request: "GET /tile/a%2Fb?z=3&q=%20 HTTP/1.1\nAccept: image/png\nAccept: */*",
		serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header()["Content-Type"] = nil
			w.Header()["X-Made"] = []string{"a", "b"}
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("Srv-Load", `{"active":1}`)
			w.WriteHeader(http.StatusNonAuthoritativeInfo)
			io.WriteString(w, "<html>")
		},
		status: 203, body: "<html>",
		head: map[string]string{
			"X-Made": "a|b", "X-Hop": "", "Connection": "", "Content-Type": "",
			"Content-Length": "6", "Srv-Load": "",
		},
		sent: map[string]string{"line": "GET /tile/a%2Fb?z=3&q=%20", "Accept": "image/png|*/*", "X-Forwarded-For": ""},
	},
	{
		name: "body and headers", request: "POST /order/7 HTTP/1.1\nContent-Type: text/plain\nX-Hop: 1\nX-Kept: 1\n" +
			"Connection: keep-alive, x-hop\nKeep-Alive: 9\nTE: trailers\nProxy-Authorization: p\nUpgrade: websocket\n" +
			"Req-Id: mine\nReq-Owner: acme\n\nprint",
		status: 200, body: "made by the server", sent: map[string]string{
			"line": "POST /order/7", "body": "print",
			"Content-Type": "text/plain", "X-Kept": "1", "X-Hop": "", "Connection": "", "Keep-Alive": "", "Te": "",
			"Proxy-Authorization": "", "Upgrade": "", "Req-Deadline": "1.00", "Req-Owner": "acme",
		},
	},
	{
		name: "status without a body", request: "GET /tile/a HTTP/1.1", status: 404,
		head: map[string]string{"X-From": "server"},
		serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-From", "server")
			w.WriteHeader(http.StatusNotFound)
		},
	},
	{name: "HEAD", request: "HEAD /tile/a HTTP/1.1", status: 200, sent: map[string]string{"line": "HEAD /tile/a"}},
	{
		name: "not modified", request: "GET /tile/a HTTP/1.1\nIf-None-Match: \"e\"", status: 304,
		head: map[string]string{"Etag": `"e"`, "Content-Type": ""},
		serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", `"e"`)
			w.WriteHeader(http.StatusNotModified)
		},
	},
	{
		name: "largest body", request: "POST /order/7 HTTP/1.1\n\n" + big, status: 200,
		sent: map[string]string{"body": big},
	},
	{
		name: "body too large", request: "POST /order/7 HTTP/1.1\n\n" + big + "x", status: 413,
		sent: map[string]string{"line": ""},
	},
	{
		name: "chunked body too large, and no end of it", status: 413, sent: map[string]string{"line": ""},
		request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\n20000\r\n" + big + "x",
	},
	{
		name: "chunked body", status: 200, sent: map[string]string{"body": "print", "Transfer-Encoding": ""},
		request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\n5\r\nprint\r\n0\r\n\r\n",
	},
	{name: "bad chunk", status: 400, request: "POST /order/7 HTTP/1.1\nTransfer-Encoding: chunked\n\nzz\r\n"},
	{name: "body does not come", status: 408, request: "POST /order/7 HTTP/1.1\nContent-Length: 9\n\nprint"},

	{name: "unknown class", request: "GET /nothing/a HTTP/1.1", status: 404, sent: map[string]string{"line": ""}},
	{
		name: "class of the options", request: "GET /any HTTP/1.1", status: 200,
		options: middleware.Options{Class: middleware.Always("order")},
		sent:    map[string]string{"Req-Deadline": "1.00"},
	},
	{
		name: "no class named", request: "GET /any HTTP/1.1", status: 200,
		options: middleware.Options{Class: middleware.Always("")}, sent: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "class of the context", request: "GET /any HTTP/1.1", status: 200,
		sent: map[string]string{"Req-Deadline": "1.00"},
		around: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(w, r.WithContext(plankrouter.WithClass(r.Context(), "order")))
			})
		},
	},
	{
		name: "host of a wrapper", request: "GET /tile/a HTTP/1.1", status: 200,
		sent: map[string]string{"Host": "tiles.internal"},
		around: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Header.Set("Host", "tiles.internal")
				next.ServeHTTP(w, r)
			})
		},
	},

	{
		name: "forwarded as it came", request: "GET /tile/a HTTP/1.1\nX-Forwarded-For: 9.9.9.9\nX-Forwarded-Proto: https",
		status: 200,
		sent:   map[string]string{"X-Forwarded-For": "9.9.9.9", "X-Forwarded-Proto": "https", "X-Forwarded-Host": ""},
	},
	{
		name: "forwarded anew", options: middleware.Options{Forwarded: true}, status: 200,
		request: "GET /tile/a HTTP/1.1\nX-Forwarded-For: 9.9.9.9\nForwarded: for=9.9.9.9\nX-Hop: 1\n" +
			"Connection: X-Forwarded-Host, X-Hop",
		sent: map[string]string{
			"X-Forwarded-For": "127.0.0.1", "X-Forwarded-Host": "app.example",
			"X-Forwarded-Proto": "http", "Forwarded": "", "X-Hop": "",
		},
	},

	{
		name: "deadline trusted", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 0.5",
		status:  200, sent: map[string]string{"Req-Deadline": "0.50", "X-Wait": ""},
	},
	{
		name: "deadline not trusted", request: "GET /tile/a HTTP/1.1\nX-Wait: nonsense\nReq-Deadline: 0.1", status: 200,
		sent: map[string]string{"Req-Deadline": "2.50", "X-Wait": "nonsense"},
	},
	{
		name: "deadline longer than the class's", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1e300", status: 200, sent: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "deadline passed", options: middleware.Options{DeadlineHeader: "X-Wait"},
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1e-300", status: 504, sent: map[string]string{"line": ""},
	},
	{
		name: "deadline of a safe request passes", options: middleware.Options{DeadlineHeader: "X-Wait"},
		serve: after(time.Second), request: "GET /tile/a HTTP/1.1\nX-Wait: 0.1", status: 504,
		head: map[string]string{"Retry-After": ""},
	},
	{name: "class's deadline passes", serve: after(time.Second), request: "GET /order/a HTTP/1.1", status: 502},
	{
		name: "deadline passes", options: middleware.Options{DeadlineHeader: "X-Wait"}, serve: after(time.Second),
		request: "GET /order/a HTTP/1.1\nX-Wait: 0.1", status: 504,
	},
	{
		name: "wrapper's deadline has passed", request: "GET /tile/a HTTP/1.1", status: 504,
		sent: map[string]string{"line": ""},
		around: func(next http.Handler) http.Handler {
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
		status:  400, sent: map[string]string{"line": ""},
	},

	{
		name: "same id open", options: middleware.Options{IDHeader: "X-Id"}, request: "GET /tile/a HTTP/1.1\nX-Id: 7",
		before: 1,
		serve:  after(100 * ms), status: 409, sent: map[string]string{"Req-Id": "7", "X-Id": ""},
	},
	{
		name: "same id not trusted", request: "GET /tile/a HTTP/1.1\nReq-Id: 7", before: 1, serve: after(100 * ms),
		status: 200,
	},
	{
		name: "two ids", options: middleware.Options{IDHeader: "X-Id"}, request: "GET /tile/a HTTP/1.1\nX-Id: 7\nX-Id: 8",
		status: 400,
	},

	{
		name: "refused", balancer: nobody, request: "GET /tile/a HTTP/1.1", status: 503,
		head: map[string]string{"Retry-After": "1"},
		body: "Service Unavailable\n",
	},
	{
		name: "refused beyond the share", balancer: beyond, request: "GET /tile/a HTTP/1.1\nX-Tenant: acme", status: 503,
		options: middleware.Options{TenantHeader: "X-Tenant"}, head: map[string]string{"Retry-After": "3"}, before: 5,
	},
	{
		name: "refused beyond the share of the context's tenant", balancer: beyond, request: "GET /tile/a HTTP/1.1",
		status: 503, head: map[string]string{"Retry-After": "3"}, before: 5,
		around: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(w, r.WithContext(plankrouter.WithTenant(r.Context(), "acme")))
			})
		},
	},
	{
		name: "failed of a safe request", request: "GET /tile/a HTTP/1.1", status: 503,
		head:  map[string]string{"Retry-After": "1"},
		serve: func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	},
	{
		name: "failed", request: "POST /order/7 HTTP/1.1", status: 502, body: "Bad Gateway\n",
		serve: func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	},
	{
		name: "closed", closed: true, request: "GET /tile/a HTTP/1.1", status: 503,
		head: map[string]string{"Retry-After": ""},
	},
	{name: "CONNECT", request: "CONNECT /tile/a HTTP/1.1", status: 501},
	{
		name: "errors of the application", options: middleware.Options{Error: teapot}, closed: true,
		request: "GET /tile/a HTTP/1.1",
		status:  418, body: plankrouter.ErrClosed.Error(),
	},

	{
		name: "client leaves", request: "GET /tile/a HTTP/1.1", serve: after(time.Second), leave: 50 * ms, status: ended,
		stats: cancelled,
	},
	{
		name: "cancelled by a wrapper", request: "GET /tile/a HTTP/1.1", serve: after(time.Second),
		around:  cancelling(50 * ms),
		options: middleware.Options{Error: teapot}, status: ended, stats: cancelled,
	},

	{
		name: "class panics", options: middleware.Options{Class: boom}, request: "GET /tile/a HTTP/1.1", status: 500,
		logged: "boom",
	},
	{
		name: "tenant panics", options: middleware.Options{Tenant: boom}, request: "GET /tile/a HTTP/1.1", status: 500,
		logged: "boom",
	},
	{
		name: "class aborts", request: "GET /tile/a HTTP/1.1", status: ended,
		options: middleware.Options{Class: func(*http.Request) string { panic(http.ErrAbortHandler) }},
	},
	{
		name: "a panic told to the application", request: "GET /tile/a HTTP/1.1", status: 418, logged: "boom",
		options: middleware.Options{Class: boom, Error: func(w http.ResponseWriter, r *http.Request, err error) {
			if p := new(middleware.PanicError); errors.As(err, &p) && p.Value == "boom" && len(p.Stack) > 0 {
				teapot(w, r, err)
			}
		}},
	},
	{
		name: "error panics", closed: true, request: "GET /tile/a HTTP/1.1", status: 500, logged: "boom",
		options: middleware.Options{Error: func(http.ResponseWriter, *http.Request, error) { panic("boom") }},
	},
	{
		name: "error panics in the middle", midway: true, closed: true, request: "GET /tile/a HTTP/1.1", status: ended,
		logged: "boom",
		options: middleware.Options{Error: func(w http.ResponseWriter, r *http.Request, err error) {
			teapot(w, r, err)
			panic("boom")
		}},
	},
}

// trusting trusts all that a middleware can.
var trusting = middleware.Options{Class: middleware.FirstSegment, TenantHeader: "X-Tenant", DeadlineHeader: "X-Wait"}

var middlewareRows = []row{
	{
		name: "middleware/all", through: true, options: trusting,
		request: "GET /order/a HTTP/1.1\nX-Tenant: acme\nX-Wait: 0.5",
		status:  200, body: "order,acme,500ms",
		sent: map[string]string{"Req-Deadline": "0.50", "Host": "tiles.internal"},
	},
	{
		name: "middleware/nothing", through: true, request: "GET /order/a HTTP/1.1\nX-Tenant: acme\nX-Wait: no number",
		status: 200,
		body:   ",,no end", sent: map[string]string{"Req-Deadline": "2.50"},
	},
	{
		name: "middleware/tenant by a function", through: true, request: "GET /any HTTP/1.1", status: 200,
		body:    ",of the token,no end",
		options: middleware.Options{Tenant: func(*http.Request) string { return "of the token" }},
	},
	{
		name: "middleware/two tenants", through: true, options: trusting, status: 400,
		request: "GET /tile/a HTTP/1.1\nX-Tenant: acme\nX-Tenant: umbra",
	},
	{
		name: "middleware/one tenant twice", through: true, options: trusting, status: 200, body: "tile,acme,no end",
		request: "GET /tile/a HTTP/1.1\nX-Tenant: acme\nX-Tenant: acme",
	},
	{
		name: "middleware/unknown class", through: true, options: trusting, request: "GET /nothing/a HTTP/1.1",
		status: 404,
	},
	{
		name: "middleware/a day", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: 1e300",
		status: 200, body: "tile,,24h0m0s",
	},
	{
		name: "middleware/negative", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: -1",
		status: 400,
	},
	{
		name: "middleware/zero", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: 0",
		status: 400,
	},
	{
		name: "middleware/infinite", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: Inf",
		status: 400,
	},
	{
		name: "middleware/too large", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: 1e999",
		status: 400,
	},
	{
		name: "middleware/not a number", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait: NaN",
		status: 400,
	},
	{name: "middleware/empty", through: true, options: trusting, request: "GET /tile/a HTTP/1.1\nX-Wait:", status: 400},
	{
		name: "middleware/two deadlines", through: true, options: trusting,
		request: "GET /tile/a HTTP/1.1\nX-Wait: 1\nX-Wait: 2",
		status:  400,
	},
	{
		name: "middleware/errors of the application", through: true, request: "GET /tile/a HTTP/1.1\nX-Wait: soon",
		status:  418,
		options: middleware.Options{DeadlineHeader: "X-Wait", Error: teapot},
		body:    `plankrouter: request: X-Wait: "soon" is not a number of seconds above 0`,
	},
	{
		name: "middleware/class panics", through: true, options: middleware.Options{Class: boom},
		request: "GET /tile/a HTTP/1.1",
		status:  500, logged: "boom",
	},
	{
		name: "middleware/client leaves", through: true, options: trusting, request: "GET /tile/a HTTP/1.1",
		serve: after(time.Second),
		leave: 50 * ms, status: ended, stats: cancelled,
	},
}
