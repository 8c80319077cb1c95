package middleware

import (
	"net/http"

	"plankrouter"
)

// Middleware returns what wraps a handler so that requests come to it with their class, tenant and deadline in their
// context: calls that it makes under that context through a plankrouter.Transport carry them, and all others made under
// it end by that deadline. An error is a *plankrouter.OptionError.
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
