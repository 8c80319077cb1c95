package plankrouter_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"plankrouter"
)

// startServer starts a server that responds with its name and the request.
func startServer(name string) (address string, stop func()) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", name, r.Method, r.URL, body)))
	}))
	return s.Listener.Addr().String(), s.Close
}

// Two classes of requests: tile requests are idempotent, order requests are not.
func Example() {
	address, stop := startServer("s-1")
	defer stop()

	b, err := plankrouter.New(plankrouter.Options{
		Classes: []plankrouter.Class{
			{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond},
			{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Idempotency: plankrouter.NonIdempotent},
		},
		Endpoints: []plankrouter.Endpoint{{Address: address}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = b.Close(context.Background()) }()

	response, err := b.Do(context.Background(), &plankrouter.Request{Class: "tile", Target: "/tile/roma?z=3"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%d %s\n", response.Status, response.Body)
	// Output: 200 s-1: GET /tile/roma?z=3
}

// The error for an invalid option names it.
func ExampleNew() {
	_, err := plankrouter.New(plankrouter.Options{
		Classes: []plankrouter.Class{{Name: "tile", LatencyObjective: time.Second, Deadline: 500 * time.Millisecond}},
	})
	fmt.Println(err)

	var invalid *plankrouter.OptionError
	fmt.Println(errors.As(err, &invalid), invalid.Option)
	// Output:
	// plankrouter: Classes[0].Deadline: 500ms is shorter than the latency objective, 1s
	// true Classes[0].Deadline
}

// The type of the error says how the call ended, and whether the request may have run.
func ExampleBalancer_Do() {
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer failing.Close()
	b, err := plankrouter.New(plankrouter.Options{
		Classes: []plankrouter.Class{{
			Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second,
			Idempotency: plankrouter.NonIdempotent,
		}},
		Endpoints: []plankrouter.Endpoint{{Address: failing.Listener.Addr().String()}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}

	order := func(ctx context.Context, class string) {
		_, err := b.Do(ctx, &plankrouter.Request{Class: class, Method: "POST", Target: "/order/7"})
		var (
			rejected  *plankrouter.RejectedError
			failed    *plankrouter.FailedError
			cancelled *plankrouter.CancelledError
			request   *plankrouter.RequestError
		)
		switch {
		case errors.As(err, &rejected):
			fmt.Println("rejected; retry after", rejected.RetryAfter)
		case errors.As(err, &failed):
			fmt.Println("failed; may have run:", failed.MayHaveRun)
		case errors.As(err, &cancelled):
			fmt.Println("cancelled; may have run:", cancelled.MayHaveRun, "because", cancelled.Cause)
		case errors.As(err, &request):
			fmt.Println("invalid request:", request.Field, request.Reason)
		default: // ErrClosed, ErrDuplicate, ErrTooLarge
			fmt.Println(err)
		}
	}
	order(context.Background(), "order")
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	order(cancelledCtx, "order")
	order(context.Background(), "ordre")
	_ = b.Close(context.Background())
	order(context.Background(), "order")
	// Output:
	// failed; may have run: true
	// cancelled; may have run: false because context canceled
	// invalid request: Class no class is named "ordre"
	// plankrouter: the balancer is closed
}

// An http.Client sends its requests through the balancer; the URL's host becomes the Host header.
func ExampleTransport() {
	address, stop := startServer("s-1")
	defer stop()
	b, err := plankrouter.New(plankrouter.Options{Endpoints: []plankrouter.Endpoint{{Address: address}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = b.Close(context.Background()) }()

	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b}}
	resp, err := client.Post("http://orders.internal/order/7", "text/plain", strings.NewReader("print"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Println(resp.Status, string(body))

	// The client's error wraps that of Do.
	ctx := plankrouter.WithClass(context.Background(), "nothing")
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://orders.internal/", nil)
	_, err = client.Do(req)
	var request *plankrouter.RequestError
	fmt.Println(errors.As(err, &request), request.Field)
	// Output:
	// 200 OK s-1: POST /order/7 print
	// true Class
}

// An application without a discovery service updates the endpoint list itself.
func ExampleBalancer_Update() {
	first, stopFirst := startServer("s-1")
	defer stopFirst()
	second, stopSecond := startServer("s-2")
	defer stopSecond()
	b, err := plankrouter.New(plankrouter.Options{Endpoints: []plankrouter.Endpoint{{ID: "s-1", Address: first}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = b.Close(context.Background()) }()
	send := func() {
		response, err := b.Do(context.Background(), &plankrouter.Request{Target: "/tile/roma"})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(string(response.Body))
	}

	send()
	if err := b.Update(
		plankrouter.Endpoint{ID: "s-1", Address: first, Phase: plankrouter.Draining},
		plankrouter.Endpoint{ID: "s-2", Address: second},
	); err != nil {
		fmt.Println(err)
	}
	send()
	// Output:
	// s-1: GET /tile/roma
	// s-2: GET /tile/roma
}

// Two balancers of one application share a limit on connections.
func ExampleNewConnectionLimit() {
	limit := plankrouter.NewConnectionLimit(8, nil)
	for _, name := range []string{"tiles", "orders"} {
		address, stop := startServer(name)
		defer stop()
		b, err := plankrouter.New(plankrouter.Options{
			Name: name, ConnectionLimit: limit,
			Endpoints: []plankrouter.Endpoint{{Address: address}},
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		defer func() { _ = b.Close(context.Background()) }()
		if _, err := b.Do(context.Background(), &plankrouter.Request{}); err != nil {
			fmt.Println(err)
		}
		fmt.Println(name, "connections in use:", b.Stats().Connections, "of 8")
	}
	// Output:
	// tiles connections in use: 1 of 8
	// orders connections in use: 2 of 8
}
