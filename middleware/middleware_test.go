package middleware_test

import (
	"errors"
	"net/http"
	"testing"

	"plankrouter"
	"plankrouter/middleware"
	"plankrouter/middleware/middlewaretest"
)

func TestAdapter(t *testing.T) {
	middlewaretest.Run(t, middlewaretest.Adapter{
		Handler: middleware.Handler,
		Middleware: func(o middleware.Options, next http.Handler) (http.Handler, error) {
			m, err := middleware.Middleware(o)
			if err != nil {
				return nil, err
			}
			return m(next), nil
		},
	})
}

func TestInvalidOptions(t *testing.T) {
	tenant := func(*http.Request) string { return "" }
	for _, c := range []struct {
		wantOption string
		options    middleware.Options
	}{
		{"TenantHeader", middleware.Options{TenantHeader: "no name"}},
		{"DeadlineHeader", middleware.Options{DeadlineHeader: "X:"}},
		{"IDHeader", middleware.Options{IDHeader: "host"}},
		{"DeadlineHeader", middleware.Options{TenantHeader: "X-One", DeadlineHeader: "x-one"}},
		{"TenantHeader", middleware.Options{Tenant: tenant, TenantHeader: "X-Tenant"}},
	} {
		_, handlerErr := middleware.Handler(new(plankrouter.Balancer), c.options)
		_, middlewareErr := middleware.Middleware(c.options)
		for _, err := range []error{handlerErr, middlewareErr} {
			var invalid *plankrouter.OptionError
			if !errors.As(err, &invalid) || invalid.Option != c.wantOption || invalid.Reason == "" {
				t.Errorf("%+v: %v, want an error that names %s", c.options, err, c.wantOption)
			}
		}
	}
	if _, err := middleware.Handler(nil, middleware.Options{}); err == nil {
		t.Error("got no error without a balancer")
	}
}
