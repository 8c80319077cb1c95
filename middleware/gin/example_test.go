package plankroutergin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/gin-gonic/gin"

	"plankrouter"
	"plankrouter/middleware"
	plankroutergin "plankrouter/middleware/gin"
)

// A Gin application forwards requests for tiles to the fleet, and sends requests of its own to it for its pages.
func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s", r.Method, r.URL)
	}))
	defer server.Close()
	b, err := plankrouter.New(plankrouter.Options{
		Endpoints: []plankrouter.Endpoint{{Address: server.Listener.Addr().String()}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = b.Close(context.Background()) }()

	tileHandler, err := plankroutergin.Handler(b, middleware.Options{Class: middleware.Always("default")})
	if err != nil {
		fmt.Println(err)
		return
	}
	tenantMiddleware, err := plankroutergin.Middleware(middleware.Options{TenantHeader: "Req-Owner"})
	if err != nil {
		fmt.Println(err)
		return
	}
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b}}
	engine := gin.New()
	engine.GET("/tile/*name", tileHandler)
	engine.GET("/page", tenantMiddleware, func(c *gin.Context) {
		ctx := c.Request.Context()
		req, _ := http.NewRequestWithContext(ctx, "GET", "http://tiles.internal/tile/roma", nil)
		resp, err := client.Do(req)
		if err != nil {
			middleware.WriteError(c.Writer, c.Request, err)
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		c.String(http.StatusOK, "for %s: %s", plankrouter.TenantOf(ctx), body)
	})

	for _, path := range []string{"/tile/roma?z=3", "/page"} {
		w, r := httptest.NewRecorder(), httptest.NewRequest("GET", path, nil)
		r.Header.Set("Req-Owner", "padova")
		engine.ServeHTTP(w, r)
		fmt.Println(w.Code, w.Body)
	}
	// Output:
	// 200 GET /tile/roma?z=3
	// 200 for padova: GET /tile/roma
}
