package middleware_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"plankrouter"
	"plankrouter/middleware"
)

// startFleet starts a server that responds with the request line, and a balancer over it.
func startFleet() (b *plankrouter.Balancer, stop func()) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s", r.Method, r.URL)
	}))
	b, err := plankrouter.New(plankrouter.Options{
		Classes: []plankrouter.Class{
			{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond},
			{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, Idempotency: plankrouter.NonIdempotent},
		},
		Endpoints: []plankrouter.Endpoint{{Address: s.Listener.Addr().String()}},
	})
	if err != nil {
		panic(err)
	}
	return b, func() {
		_ = b.Close(context.Background())
		s.Close()
	}
}

// get sends a request to the application and prints the response.
func get(app *httptest.Server, path string) {
	resp, err := http.Get(app.URL + path)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Printf("%d %s\n", resp.StatusCode, body)
}

// The application forwards requests for tiles to the fleet and serves all others itself.
func ExampleHandler() {
	b, stop := startFleet()
	defer stop()

	tileHandler, err := middleware.Handler(b, middleware.Options{Class: middleware.Always("tile"), Forwarded: true})
	if err != nil {
		fmt.Println(err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /maps/", http.StripPrefix("/maps", tileHandler))
	mux.HandleFunc("/about", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "served by the application")
	})
	app := httptest.NewServer(mux)
	defer app.Close()

	get(app, "/maps/tile/roma?z=3")
	get(app, "/about")
	// Output:
	// 200 GET /tile/roma?z=3
	// 200 served by the application
}

// A request that the application sends to the fleet under the context of an incoming request has its class, tenant and deadline.
func ExampleMiddleware() {
	b, stop := startFleet()
	defer stop()
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b}}

	page := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		req, _ := http.NewRequestWithContext(ctx, "GET", "http://tiles.internal/tile/roma", nil)
		resp, err := client.Do(req)
		if err != nil {
			middleware.WriteError(w, r, err)
			return
		}
		defer resp.Body.Close()
		_, hasDeadline := ctx.Deadline()
		fmt.Fprintf(w, "class %s, tenant %s, a deadline: %t; got ",
			plankrouter.ClassOf(ctx), plankrouter.TenantOf(ctx), hasDeadline)
		if _, err := io.Copy(w, resp.Body); err != nil {
			panic(http.ErrAbortHandler) // a partial response must not look complete
		}
	})
	wrap, err := middleware.Middleware(middleware.Options{
		Class:          middleware.Always("tile"),
		Tenant:         func(r *http.Request) string { return r.URL.Query().Get("library") },
		DeadlineHeader: "Req-Deadline",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	app := httptest.NewServer(wrap(page))
	defer app.Close()

	get(app, "/page?library=padova")
	// Output: 200 class tile, tenant padova, a deadline: false; got GET /tile/roma
}
