// Package plankroutergin adapts package middleware to applications that serve HTTP with Gin. It is a module of its own, so that
// other users of plankrouter don't depend on Gin.
package plankroutergin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"plankrouter"
	"plankrouter/middleware"
)

// Handler is middleware.Handler for Gin. A cancelled request is aborted with an empty 502, as Gin always sends a response. Only
// a client whose request was cancelled by the application itself sees it; other clients are gone.
func Handler(b *plankrouter.Balancer, o middleware.Options) (gin.HandlerFunc, error) {
	h, err := middleware.Handler(b, o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) { serveOrAbort(c, h) }, nil
}

func serveOrAbort(c *gin.Context, h http.Handler) {
	defer func() {
		switch p := recover(); {
		case p == nil:
		case p == any(http.ErrAbortHandler) && !c.Writer.Written(): // gin.Recovery would log it, and send a 200
			c.AbortWithStatus(http.StatusBadGateway)
		default:
			panic(p)
		}
	}()
	h.ServeHTTP(c.Writer, c.Request)
}

// Middleware is middleware.Middleware for Gin. The handler must send its requests under the context of c.Request; the
// gin.Context itself can be used in its place only if the engine's ContextWithFallback is set.
func Middleware(o middleware.Options) (gin.HandlerFunc, error) {
	m, err := middleware.Middleware(o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) {
		incoming, nextCalled := c.Request, false
		m(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			c.Request, nextCalled = r, true
			c.Next()
		})).ServeHTTP(c.Writer, incoming)
		if c.Request = incoming; !nextCalled {
			c.Abort()
		}
	}, nil
}
