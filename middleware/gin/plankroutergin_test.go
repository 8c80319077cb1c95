package plankroutergin_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/gin-gonic/gin"

	"plankrouter"
	"plankrouter/middleware"
	plankroutergin "plankrouter/middleware/gin"
	"plankrouter/middleware/middlewaretest"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.TestMode)
	m.Run()
}

// checkRequestRestored panics if a later handler leaves another request in the context.
func checkRequestRestored(c *gin.Context) {
	before := c.Request
	if c.Next(); c.Request != before {
		panic("a later handler left another request in the context")
	}
}

// The adapter works on a route and as the engine's NoRoute handler, with and without Gin's Recovery.
func TestAdapter(t *testing.T) {
	for _, c := range []struct {
		name           string
		recoversPanics bool
		global         []gin.HandlerFunc // handlers before the adapter's
		register       func(*gin.Engine, ...gin.HandlerFunc)
	}{
		{"routed", false, []gin.HandlerFunc{checkRequestRestored}, func(e *gin.Engine, h ...gin.HandlerFunc) {
			e.Any("/*path", h...)
		}},
		{"recovery", true, []gin.HandlerFunc{gin.RecoveryWithWriter(io.Discard)}, (*gin.Engine).NoRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve := func(h ...gin.HandlerFunc) http.Handler {
				e := gin.New()
				e.Use(c.global...)
				c.register(e, h...)
				return e
			}
			middlewaretest.Run(t, middlewaretest.Adapter{
				RecoversPanics: c.recoversPanics, AbortedStatus: http.StatusBadGateway,
				Handler: func(b *plankrouter.Balancer, o middleware.Options) (http.Handler, error) {
					h, err := plankroutergin.Handler(b, o)
					return serve(h), err
				},
				Middleware: func(o middleware.Options, next http.Handler) (http.Handler, error) {
					m, err := plankroutergin.Middleware(o)
					return serve(m, gin.WrapH(next)), err
				},
			})
		})
	}
}
