// Package retrybudget bounds further attempts, so that retries never become the load.
package retrybudget

const (
	retriesPerRequest = 0.1  // further attempts that each request earns
	maxSaved          = 10.0 // further attempts that may be saved up
)

// Budget is the number of further attempts that requests have earned. The zero value is an empty one.
type Budget float64

// Earn adds what a new request earns.
func (b *Budget) Earn() { *b = min(maxSaved, *b+retriesPerRequest) }

// Allows reports whether there is one attempt left.
func (b Budget) Allows() bool { return b >= 1 }

// Take takes one attempt.
func (b *Budget) Take() { *b-- }
