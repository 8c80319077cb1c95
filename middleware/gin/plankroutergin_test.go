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

// keeps sees to it that whoever comes before finds the request as it was.
func keeps(c *gin.Context) {
	came := c.Request
	if c.Next(); c.Request != came {
		panic("another request is left behind")
	}
}

// Routes are served where Gin finds them and where it finds none, with Recovery and without.
func TestAdapter(t *testing.T) {
	for _, c := range []struct {
		name     string
		recovers bool
		more     []gin.HandlerFunc
		put      func(*gin.Engine, ...gin.HandlerFunc)
	}{
		{"routed", false, []gin.HandlerFunc{keeps}, func(e *gin.Engine, h ...gin.HandlerFunc) {
			e.Any("/*path", h...)
		}},
		{"recovery", true, []gin.HandlerFunc{gin.RecoveryWithWriter(io.Discard)}, (*gin.Engine).NoRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve := func(h ...gin.HandlerFunc) http.Handler {
				e := gin.New()
				e.Use(c.more...)
				c.put(e, h...)
				return e
			}
			middlewaretest.Run(t, middlewaretest.Adapter{
				RecoversPanics: c.recovers, AbortedStatus: http.StatusBadGateway,
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
