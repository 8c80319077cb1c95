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

func TestBadOptions(t *testing.T) {
	tenant := func(*http.Request) string { return "" }
	for _, c := range []struct {
		option string
		set    middleware.Options
	}{
		{"TenantHeader", middleware.Options{TenantHeader: "no name"}},
		{"DeadlineHeader", middleware.Options{DeadlineHeader: "X:"}},
		{"IDHeader", middleware.Options{IDHeader: "host"}},
		{"DeadlineHeader", middleware.Options{TenantHeader: "X-One", DeadlineHeader: "x-one"}},
		{"TenantHeader", middleware.Options{Tenant: tenant, TenantHeader: "X-Tenant"}},
	} {
		_, one := middleware.Handler(new(plankrouter.Balancer), c.set)
		_, other := middleware.Middleware(c.set)
		for _, err := range []error{one, other} {
			var bad *plankrouter.OptionError
			if !errors.As(err, &bad) || bad.Option != c.option || bad.Reason == "" {
				t.Errorf("%+v: %v, want %s named", c.set, err, c.option)
			}
		}
	}
	if _, err := middleware.Handler(nil, middleware.Options{}); err == nil {
		t.Error("no balancer, and no error")
	}
}
