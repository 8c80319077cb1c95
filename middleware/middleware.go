package middleware

import (
	"net/http"

	"plankrouter"
)

// Middleware returns a function that wraps a handler so that each request's context has its class, tenant and deadline. A
// request that the handler sends through a plankrouter.Transport under that context has that class and tenant, and the deadline
// applies to everything done under it. The error is a *plankrouter.OptionError.
func Middleware(o Options) (func(http.Handler) http.Handler, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			claimed, err := o.parseClaims(r)
			if err != nil {
				o.respondError(w, r, err)
				return
			}
			ctx, cancel := claimed.withTimeout(r.Context())
			defer cancel()
			if claimed.class != "" {
				ctx = plankrouter.WithClass(ctx, claimed.class)
			}
			if claimed.tenant != "" {
				ctx = plankrouter.WithTenant(ctx, claimed.tenant)
			}
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}, nil
}
