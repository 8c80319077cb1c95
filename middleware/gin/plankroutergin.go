// Package plankroutergin is package middleware for applications that serve HTTP by Gin. It adds
// nothing but what Gin needs, and is a module of its own, so that nobody else carries Gin's dependencies.
package plankroutergin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"plankrouter"
	"plankrouter/middleware"
)

// Handler is middleware.Handler. Where the request was cancelled nothing is written by it, but Gin ends such a request
// with an answer all the same, which is 502 and empty: nobody reads it, except where the application has cancelled it
// itself.
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

// Middleware is middleware.Middleware. Calls have to be made under the context of c.Request; the gin.Context itself
// passes for it only where the engine's ContextWithFallback is set.
func Middleware(o middleware.Options) (gin.HandlerFunc, error) {
	m, err := middleware.Middleware(o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) {
		incoming, passed := c.Request, false
		m(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			c.Request, passed = r, true
			c.Next()
		})).ServeHTTP(c.Writer, incoming)
		if c.Request = incoming; !passed {
			c.Abort()
		}
	}, nil
}
