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

// server starts a server of the fleet for an example, which says what it was asked.
func server(name string) (address string, stop func()) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", name, r.Method, r.URL, body)))
	}))
	return s.Listener.Addr().String(), s.Close
}

// A fleet with two classes: tiles may be fetched any number of times, an order must not be printed twice.
func Example() {
	address, stop := server("s-1")
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

// An option that makes no sense is named.
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

// Every call ends in a response or in an error that says what the application must know.
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
			fmt.Println("trying again is harmless, in", rejected.RetryAfter)
		case errors.As(err, &failed):
			fmt.Println("failed; may have run:", failed.MayHaveRun)
		case errors.As(err, &cancelled):
			fmt.Println("given up; may have run:", cancelled.MayHaveRun, "because", cancelled.Cause)
		case errors.As(err, &request):
			fmt.Println("can't be sent:", request.Field, request.Reason)
		default: // ErrClosed, ErrDuplicate, ErrTooLarge
			fmt.Println(err)
		}
	}
	order(context.Background(), "order")
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	order(gone, "order")
	order(context.Background(), "ordre")
	_ = b.Close(context.Background())
	order(context.Background(), "order")
	// Output:
	// failed; may have run: true
	// given up; may have run: false because context canceled
	// can't be sent: Class there is none named "ordre"
	// plankrouter: the balancer is closed
}

// An http.Client sends through the balancer, under whatever host the URL names.
func ExampleTransport() {
	address, stop := server("s-1")
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

	// The errors of Do are in the chain of the client's own.
	ctx := plankrouter.WithClass(context.Background(), "nothing")
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://orders.internal/", nil)
	_, err = client.Do(req)
	var request *plankrouter.RequestError
	fmt.Println(errors.As(err, &request), request.Field)
	// Output:
	// 200 OK s-1: POST /order/7 print
	// true Class
}

// An application that knows its servers itself names them to the balancer as they change.
func ExampleBalancer_Update() {
	first, stopFirst := server("s-1")
	defer stopFirst()
	second, stopSecond := server("s-2")
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

// Two fleets of one application share a limit on connections.
func ExampleNewConnectionLimit() {
	both := plankrouter.NewConnectionLimit(8, nil)
	for _, name := range []string{"tiles", "orders"} {
		address, stop := server(name)
		defer stop()
		b, err := plankrouter.New(plankrouter.Options{
			Name: name, ConnectionLimit: both,
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
		fmt.Println(name, "sees", b.Stats().Connections, "of 8")
	}
	// Output:
	// tiles sees 1 of 8
	// orders sees 2 of 8
}
