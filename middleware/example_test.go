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

// fleet starts one server, which says what it was asked, and a balancer over it, for an example.
func fleet() (b *plankrouter.Balancer, stop func()) {
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

// get asks the application.
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

// The application serves tiles by the fleet, and all else itself.
func ExampleHandler() {
	b, stop := fleet()
	defer stop()

	tiles, err := middleware.Handler(b, middleware.Options{Class: middleware.Always("tile"), Forwarded: true})
	if err != nil {
		fmt.Println(err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /maps/", http.StripPrefix("/maps", tiles))
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

// What the application asks of the fleet for a request has that request's class, tenant and deadline.
func ExampleMiddleware() {
	b, stop := fleet()
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
		_, ends := ctx.Deadline()
		fmt.Fprintf(w, "class %s, tenant %s, a deadline: %t; got ",
			plankrouter.ClassOf(ctx), plankrouter.TenantOf(ctx), ends)
		if _, err := io.Copy(w, resp.Body); err != nil {
			panic(http.ErrAbortHandler) // a part of the body must not pass for the whole
		}
	})
	with, err := middleware.Middleware(middleware.Options{
		Class:          middleware.Always("tile"),
		Tenant:         func(r *http.Request) string { return r.URL.Query().Get("library") },
		DeadlineHeader: "Req-Deadline",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	app := httptest.NewServer(with(page))
	defer app.Close()

	get(app, "/page?library=padova")
	// Output: 200 class tile, tenant padova, a deadline: false; got GET /tile/roma
}
