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
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/middleware"
)

// Adapter is what is tested. Both functions return the whole application as an http.Handler, such as a framework's
// engine.
type Adapter struct {
	// Handler serves every method and path by the balancer.
	Handler func(*plankrouter.Balancer, middleware.Options) (http.Handler, error)
	// Middleware serves every method and path by next, behind the middleware.
	Middleware func(o middleware.Options, next http.Handler) (http.Handler, error)
	// AbortedStatus is the status of a request that was cancelled, or aborted by a function in Options; 0 = its connection ends
	// without an answer, as it does by net/http.
	AbortedStatus int
	// RecoversPanics says that no panic gets as far as net/http: an answer that one has broken off then passes for a whole
	// one.
	RecoversPanics bool
}

// Run plays all rows, as subtests.
func Run(t *testing.T, a Adapter) {
	for _, r := range append(handlerRows, middlewareRows...) {
		if r.breaksOff && a.RecoversPanics {
			continue
		}
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { r.play(t, a) })
		})
	}
}

const (
	ms             = time.Millisecond
	connectionEnds = 0 // in place of a status: the connection ends without a whole answer
)

// row is one request and what must come of it.
type row struct {
	name              string
	options           middleware.Options
	balancer          func(*plankrouter.Options)
	throughMiddleware bool // the middleware, whose next handler answers with what it finds; else the handler

	wrap              func(http.Handler) http.Handler // a wrapper of the application's own
	serverHandler     http.HandlerFunc                // the server's; nil = 200, "made by the server"
	balancerClosed    bool                            // the balancer
	requestsBefore    int                             // so many of its like have gone out 10 ms before
	breaksOff         bool                            // the answer breaks off in the middle
	clientLeavesAfter time.Duration                   // the client does, so long after it has asked; 0 = it does not

	request string // without Host and Content-Length

	status         int
	responseHeader map[string]string // of the answer; "" = there is no such line
	body           string            // of the answer; "" = any
	serverRequest  map[string]string // to the server, likewise; "" under the name "line" or "body" = any
	logged         string            // by the http.Server
	stats          func(plankrouter.Stats) bool
}

func (r *row) play(t *testing.T, a Adapter) {
	defer time.Sleep(time.Second) // in which an http.Server ends a connection that it has not read to its end
	net := fakes.NewMemory()
	server := &recordingServer{respond: r.serverHandler, request: map[string]string{}}
	listening, address := listen(t, net, nil, server)
	defer listening.Close()
	b := r.newBalancer(t, net, address)
	defer closeBalancer(t, b)

	app, err := r.adapt(a, b)
	if err != nil {
		t.Fatal(err)
	}
	if r.wrap != nil {
		app = r.wrap(app)
	}
	var logged bytes.Buffer
	front, at := listen(t, net, &logged, app)
	defer front.Close()
	if r.balancerClosed {
		closeBalancer(t, b)
	}
	for range r.requestsBefore {
		go r.send(t, net, at)
	}
	time.Sleep(10 * ms)
	status, header, body := r.send(t, net, at)
	time.Sleep(10 * ms) // until what has ended is known to have

	r.checkResponse(t, a, status, header, body)
	server.check(t, r.serverRequest)
	front.Close()
	if log := logged.String(); !strings.Contains(log, r.logged) || r.logged == "" && log != "" {
		t.Errorf("logged %q, want %q", log, r.logged)
	}
	if s := b.Stats(); r.stats != nil && !r.stats(s) {
		t.Errorf("%+v", s)
	}
}

// newBalancer returns a balancer of two classes over the server at address.
func (r *row) newBalancer(t *testing.T, net *fakes.Memory, address string) *plankrouter.Balancer {
	t.Helper()
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
	return b
}

// closeBalancer may be called twice.
func closeBalancer(t *testing.T, b *plankrouter.Balancer) {
	t.Helper()
	if err := b.Close(t.Context()); err != nil {
		t.Error(err)
	}
}

// checkResponse compares what came back with what the row wants.
func (r *row) checkResponse(t *testing.T, a Adapter, status int, header http.Header, body string) {
	t.Helper()
	wantStatus := r.status
	if wantStatus == connectionEnds && !r.breaksOff && r.clientLeavesAfter == 0 {
		wantStatus = a.AbortedStatus
	}
	if status != wantStatus || r.body != "" && body != r.body {
		t.Errorf("%d %q, want %d %q", status, body, wantStatus, r.body)
	}
	for name, want := range r.responseHeader {
		if got := strings.Join(header.Values(name), "|"); got != want {
			t.Errorf("%s: %q came back, want %q", name, got, want)
		}
	}
}

// recordingServer is the server behind the balancer.
type recordingServer struct {
	respond http.HandlerFunc // nil = 200, "made by the server"

	mu      sync.Mutex
	request map[string]string // the last one's headers, and its "line" and "body"
}

func (s *recordingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.record(r, string(body))
	if s.respond == nil {
		fmt.Fprint(w, "made by the server")
		return
	}
	s.respond(w, r)
}

func (s *recordingServer) record(r *http.Request, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request["line"] = r.Method + " " + r.RequestURI
	s.request["body"] = body
	s.request["Host"] = r.Host
	for name, values := range r.Header {
		s.request[name] = strings.Join(values, "|")
	}
	if seconds, err := strconv.ParseFloat(s.request["Req-Deadline"], 64); err == nil { // some ms are the balancer's
		s.request["Req-Deadline"] = fmt.Sprintf("%.2f", seconds)
	}
}

// check compares what went to the server with want.
func (s *recordingServer) check(t *testing.T, want map[string]string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, value := range want {
		if got := s.request[name]; got != value {
			t.Errorf("%s: %q went to the server, want %q", name, got, value)
		}
	}
}

func (r *row) adapt(a Adapter, b *plankrouter.Balancer) (http.Handler, error) {
	if !r.throughMiddleware {
		return a.Handler(b, r.options)
	}
	return a.Middleware(r.options, echoContext(b))
}

// echoContext answers with the class, the tenant and the time left that it finds in the request's context, and with what an
// http.Client gets under it.
func echoContext(b *plankrouter.Balancer) http.Handler {
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
		fmt.Fprint(w, strings.Join([]string{plankrouter.ClassOf(ctx), plankrouter.TenantOf(ctx), left}, ","))
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
	go func() { _ = s.Serve(l) }() // until it is closed, which is its error
	return s, l.Addr().String()
}

// send sends the request as it stands, on a connection of its own.
func (r *row) send(t *testing.T, n *fakes.Memory, at string) (status int, head http.Header, body string) {
	c, err := n.Dial(context.Background(), at)
	if err != nil {
		t.Error(err)
		return connectionEnds, nil, ""
	}
	defer c.Close()
	fmt.Fprint(c, wire(r.request))
	if r.clientLeavesAfter > 0 {
		time.Sleep(r.clientLeavesAfter)
		return connectionEnds, nil, ""
	}
	method, _, _ := strings.Cut(r.request, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return connectionEnds, nil, ""
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionEnds, nil, ""
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
