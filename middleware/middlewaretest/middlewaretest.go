// Package middlewaretest is a table of tests for adapters of package middleware to web frameworks. The author of an adapter
// runs it as follows.
//
//	func TestAdapter(t *testing.T) {
//		middlewaretest.Run(t, middlewaretest.Adapter{
//			Handler: func(b *plankrouter.Balancer, o middleware.Options) (http.Handler, error) { ... },
//			Middleware: func(o middleware.Options, next http.Handler) (http.Handler, error) { ... },
//		})
//	}
//
// Each row runs in a synctest bubble, with an http.Server that uses the adapter, a Balancer and a server behind it, connected
// by an in-memory network.
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

// Adapter is an adapter under test. Both functions return the whole application as an http.Handler, such as a framework's
// engine.
type Adapter struct {
	// Handler returns an application that forwards every method and path to the balancer.
	Handler func(*plankrouter.Balancer, middleware.Options) (http.Handler, error)
	// Middleware returns an application that serves every method and path with next, wrapped in the middleware.
	Middleware func(o middleware.Options, next http.Handler) (http.Handler, error)
	// AbortedStatus is the status of the response to a request that was cancelled, or aborted by a function in Options; 0 = the
	// connection is closed without a response, as net/http does.
	AbortedStatus int
	// RecoversPanics says that panics don't reach net/http: a response that a panic cuts short then looks complete.
	RecoversPanics bool
}

// Run runs all rows as subtests.
func Run(t *testing.T, a Adapter) {
	for _, r := range append(handlerRows, middlewareRows...) {
		if r.responseCutShort && a.RecoversPanics {
			continue
		}
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { r.run(t, a) })
		})
	}
}

const (
	ms         = time.Millisecond
	noResponse = 0 // in place of a status: the connection was closed without a complete response
)

// row is a test case: one request and what is expected of it.
type row struct {
	name              string
	options           middleware.Options
	balancer          func(*plankrouter.Options) // changes the balancer's options; nil = no change
	throughMiddleware bool                       // tests the middleware, with echoContext as the next handler; else the handler

	wrap              func(http.Handler) http.Handler // wraps the application; nil = nothing does
	serverHandler     http.HandlerFunc                // of the server; nil = it responds with 200, "made by the server"
	balancerClosed    bool                            // the balancer is closed before the request is sent
	requestsBefore    int                             // number of equal requests that are sent 10 ms earlier
	responseCutShort  bool                            // the connection is closed in the middle of the response
	clientLeavesAfter time.Duration                   // time after which the client closes its connection; 0 = it does not

	request string // without Host and Content-Length

	status         int                          // expected status, or noResponse
	responseHeader map[string]string            // expected headers of the response; "" = it must not have the header
	body           string                       // expected body of the response; "" = any
	serverRequest  map[string]string            // expected fields of recordingServer.request; "" = it must not have the field
	logged         string                       // text that the http.Server's log must contain; "" = the log must be empty
	stats          func(plankrouter.Stats) bool // whether the balancer's counts are as expected; nil = they are not checked
}

func (r *row) run(t *testing.T, a Adapter) {
	defer time.Sleep(time.Second) // time for an http.Server to close a connection that it has not read to the end
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
	appServer, appAddress := listen(t, net, &logged, app)
	defer appServer.Close()
	if r.balancerClosed {
		closeBalancer(t, b)
	}
	for range r.requestsBefore {
		go r.send(t, net, appAddress)
	}
	time.Sleep(10 * ms)
	status, header, body := r.send(t, net, appAddress)
	time.Sleep(10 * ms) // time for the balancer to handle the end of the request

	r.checkResponse(t, a, status, header, body)
	server.check(t, r.serverRequest)
	appServer.Close()
	if log := logged.String(); !strings.Contains(log, r.logged) || r.logged == "" && log != "" {
		t.Errorf("logged %q, want %q", log, r.logged)
	}
	if s := b.Stats(); r.stats != nil && !r.stats(s) {
		t.Errorf("%+v", s)
	}
}

// newBalancer returns a balancer with two classes over the server at address.
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

// closeBalancer closes the balancer. It may be called again for the same one.
func closeBalancer(t *testing.T, b *plankrouter.Balancer) {
	t.Helper()
	if err := b.Close(t.Context()); err != nil {
		t.Error(err)
	}
}

// checkResponse compares the response with the row's expectation.
func (r *row) checkResponse(t *testing.T, a Adapter, status int, header http.Header, body string) {
	t.Helper()
	wantStatus := r.status
	if wantStatus == noResponse && !r.responseCutShort && r.clientLeavesAfter == 0 {
		wantStatus = a.AbortedStatus
	}
	if status != wantStatus || r.body != "" && body != r.body {
		t.Errorf("%d %q, want %d %q", status, body, wantStatus, r.body)
	}
	for name, want := range r.responseHeader {
		if got := strings.Join(header.Values(name), "|"); got != want {
			t.Errorf("response header %s: %q, want %q", name, got, want)
		}
	}
}

// recordingServer is the server behind the balancer. It records the last request.
type recordingServer struct {
	respond http.HandlerFunc // nil = 200, "made by the server"

	mu      sync.Mutex
	request map[string]string // headers of the last request, and under "line" its method and URI, under "body" its body
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
	if seconds, err := strconv.ParseFloat(s.request["Req-Deadline"], 64); err == nil { // rounded, because some ms have passed
		s.request["Req-Deadline"] = fmt.Sprintf("%.2f", seconds)
	}
}

// check compares the last request to the server with want; "" = the request must not have the field.
func (s *recordingServer) check(t *testing.T, want map[string]string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, value := range want {
		if got := s.request[name]; got != value {
			t.Errorf("request to the server: %s: %q, want %q", name, got, value)
		}
	}
}

func (r *row) adapt(a Adapter, b *plankrouter.Balancer) (http.Handler, error) {
	if !r.throughMiddleware {
		return a.Handler(b, r.options)
	}
	return a.Middleware(r.options, echoContext(b))
}

// echoContext sends a request through b under the request's context. If that succeeds, it responds with the class, the tenant
// and the time left of the context.
func echoContext(b *plankrouter.Balancer) http.Handler {
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, timeLeft := r.Context(), "no deadline"
		if deadline, ok := ctx.Deadline(); ok {
			timeLeft = time.Until(deadline).String()
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
		fmt.Fprint(w, strings.Join([]string{plankrouter.ClassOf(ctx), plankrouter.TenantOf(ctx), timeLeft}, ","))
	})
}

// listen starts an http.Server with handler h, and returns it and its address. It logs its errors to logs; nil = the standard
// logger.
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
	go func() { _ = s.Serve(l) }() // returns http.ErrServerClosed
	return s, l.Addr().String()
}

// send sends the request on a connection of its own and returns the response; its status is noResponse if there is no complete
// one.
func (r *row) send(t *testing.T, n *fakes.Memory, address string) (status int, head http.Header, body string) {
	c, err := n.Dial(context.Background(), address)
	if err != nil {
		t.Error(err)
		return noResponse, nil, ""
	}
	defer c.Close()
	fmt.Fprint(c, wire(r.request))
	if r.clientLeavesAfter > 0 {
		time.Sleep(r.clientLeavesAfter)
		return noResponse, nil, ""
	}
	method, _, _ := strings.Cut(r.request, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return noResponse, nil, ""
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return noResponse, nil, ""
	}
	return resp.StatusCode, resp.Header, string(raw)
}

// wire returns a row's request as it is sent: with a Host header, a Content-Length for a body that is not chunked, and CRLF
// line ends.
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
