// Package middlewaretest is the table by which adapters of package middleware are tested: whoever writes one, for a
// framework of their own, runs it.
//
//	func TestAdapter(t *testing.T) {
//		middlewaretest.Run(t, middlewaretest.Adapter{
//			Handler: func(b *plankrouter.Balancer, o middleware.Options) (http.Handler, error) { ... },
//			Middleware: func(o middleware.Options, next http.Handler) (http.Handler, error) { ... },
//		})
//	}
//
// Each row plays in a bubble of testing/synctest: a real http.Server with the adapter, a Balancer and a server behind
// it, connected within the process.
package middlewaretest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"plankrouter"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/middleware"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Adapter is what is tested. Both functions return the whole application as an http.Handler, such as a framework's
// engine.
type Adapter struct {
	// Handler serves every method and path by the balancer.
	Handler func(*plankrouter.Balancer, middleware.Options) (http.Handler, error)
	// Middleware serves every method and path by next, behind the middleware.
	Middleware func(o middleware.Options, next http.Handler) (http.Handler, error)
	// Ended is the status of a request that was cancelled, or aborted by a function in Options; 0 = its connection ends
	// without an answer, as it does by net/http.
	Ended int
	// Recovers says that no panic gets as far as net/http: an answer that one has broken off then passes for a whole
	// one.
	Recovers bool
}

// Run plays all rows, as subtests.
func Run(t *testing.T, a Adapter) {
	for _, r := range append(handlerRows, middlewareRows...) {
		if r.midway && a.Recovers {
			continue
		}
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { r.play(t, a) })
		})
	}
}

const (
	ms    = time.Millisecond
	ended = 0 // in place of a status: the connection ends without a whole answer
)

// row is one request and what must come of it.
type row struct {
	name     string
	options  middleware.Options
	balancer func(*plankrouter.Options)
	through  bool // the middleware, whose next handler answers with what it finds; else the handler

	around func(http.Handler) http.Handler // a wrapper of the application's own
	serve  http.HandlerFunc                // the server's; nil = 200, "made by the server"
	closed bool                            // the balancer
	before int                             // so many of its like have gone out 10 ms before
	midway bool                            // the answer breaks off in the middle
	leave  time.Duration                   // the client does, so long after it has asked; 0 = it does not

	request string // without Host and Content-Length

	status int
	head   map[string]string // of the answer; "" = there is no such line
	body   string            // of the answer; "" = any
	sent   map[string]string // to the server, likewise; "" under the name "line" or "body" = any
	logged string            // by the http.Server
	stats  func(plankrouter.Stats) bool
}

func (r *row) play(t *testing.T, a Adapter) {
	defer time.Sleep(time.Second) // in which an http.Server ends a connection that it has not read to its end
	net := fakes.NewMemory()
	var mu sync.Mutex
	sent := map[string]string{}
	server, address := listen(t, net, nil, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		mu.Lock()
		sent["line"], sent["body"], sent["Host"] = in.Method+" "+in.RequestURI, string(body), in.Host
		for name, values := range in.Header {
			sent[name] = strings.Join(values, "|")
		}
		if s, err := strconv.ParseFloat(sent["Req-Deadline"], 64); err == nil { // some ms are the balancer's
			sent["Req-Deadline"] = fmt.Sprintf("%.2f", s)
		}
		mu.Unlock()
		if r.serve == nil {
			io.WriteString(w, "made by the server")
			return
		}
		r.serve(w, in)
	}))
	defer server.Close()

	o := plankrouter.Options{
		Seed: 1, ConnectionLimit: plankrouter.NewConnectionLimit(16, net.Dial),
		Classes: []plankrouter.Class{
			{Name: "tile", LatencyObjective: 750 * ms, Deadline: 2500 * ms},
			{Name: "order", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: plankrouter.NonIdempotent},
		},
		Endpoints: []plankrouter.Endpoint{{Address: address}},
	}
	if r.balancer != nil {
		r.balancer(&o)
	}
	b, err := plankrouter.New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close(t.Context())

	app, err := r.adapt(a, b)
	if err != nil {
		t.Fatal(err)
	}
	if r.around != nil {
		app = r.around(app)
	}
	var logged bytes.Buffer
	front, at := listen(t, net, &logged, app)
	defer front.Close()
	if r.closed {
		b.Close(t.Context())
	}
	for range r.before {
		go r.ask(t, net, at)
	}
	time.Sleep(10 * ms)
	status, head, body := r.ask(t, net, at)
	time.Sleep(10 * ms) // until what has ended is known to have

	if r.status == ended && !r.midway && r.leave == 0 {
		r.status = a.Ended
	}
	if status != r.status || r.body != "" && body != r.body {
		t.Errorf("%d %q, want %d %q", status, body, r.status, r.body)
	}
	for name, want := range r.head {
		if got := strings.Join(head.Values(name), "|"); got != want {
			t.Errorf("%s: %q came back, want %q", name, got, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for name, want := range r.sent {
		if got := sent[name]; got != want {
			t.Errorf("%s: %q went to the server, want %q", name, got, want)
		}
	}
	front.Close()
	if log := logged.String(); !strings.Contains(log, r.logged) || r.logged == "" && log != "" {
		t.Errorf("logged %q, want %q", log, r.logged)
	}
	if s := b.Stats(); r.stats != nil && !r.stats(s) {
		t.Errorf("%+v", s)
	}
}

func (r *row) adapt(a Adapter, b *plankrouter.Balancer) (http.Handler, error) {
	if !r.through {
		return a.Handler(b, r.options)
	}
	return a.Middleware(r.options, found(b))
}

// found answers with the class, the tenant and the time left that it finds in the request's context, and with what an
// http.Client gets under it.
func found(b *plankrouter.Balancer) http.Handler {
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, left := r.Context(), "no end"
		if until, ends := ctx.Deadline(); ends {
			left = time.Until(until).String()
		}
		req, err := http.NewRequestWithContext(ctx, "GET", "http://tiles.internal/tile/7", nil)
		if err == nil {
			var resp *http.Response
			if resp, err = client.Do(req); err == nil {
				resp.Body.Close()
			}
		}
		if err != nil {
			middleware.WriteError(w, r, err)
			return
		}
		w.WriteHeader(http.StatusOK)
		io.WriteString(w, strings.Join([]string{plankrouter.ClassOf(ctx), plankrouter.TenantOf(ctx), left}, ","))
	})
}

// listen starts an http.Server.
func listen(t *testing.T, n *fakes.Memory, logs io.Writer, h http.Handler) (*http.Server, string) {
	t.Helper()
	l, err := n.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadTimeout: 5 * time.Second}
	if logs != nil {
		s.ErrorLog = log.New(logs, "", 0)
	}
	go s.Serve(l)
	return s, l.Addr().String()
}

// ask sends the request as it stands, on a connection of its own.
func (r *row) ask(t *testing.T, n *fakes.Memory, at string) (status int, head http.Header, body string) {
	c, err := n.Dial(context.Background(), at)
	if err != nil {
		t.Error(err)
		return ended, nil, ""
	}
	defer c.Close()
	io.WriteString(c, wire(r.request))
	if r.leave > 0 {
		time.Sleep(r.leave)
		return ended, nil, ""
	}
	method, _, _ := strings.Cut(r.request, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return ended, nil, ""
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return ended, nil, ""
	}
	return resp.StatusCode, resp.Header, string(raw)
}

// wire completes a request's head.
func wire(request string) string {
	head, body, _ := strings.Cut(request, "\n\n")
	line, rest, _ := strings.Cut(head, "\n")
	lines := []string{line, "Host: app.example"}
	if rest != "" {
		lines = append(lines, strings.Split(rest, "\n")...)
	}
	if body != "" && !strings.Contains(rest, "Content-Length") && !strings.Contains(rest, "Transfer-Encoding") {
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}
