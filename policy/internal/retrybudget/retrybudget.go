// Package retrybudget limits retries to a fraction of the requests, so that they can't overload the servers.
package retrybudget

const (
	retriesPerRequest = 0.1  // retries added to the budget by each request
	maxSaved          = 10.0 // upper bound of the budget, in retries
)

// Budget is the number of retries that are left. The zero value is an empty budget.
type Budget float64

// Earn adds retriesPerRequest, for a new request.
func (b *Budget) Earn() { *b = min(maxSaved, *b+retriesPerRequest) }

// Allows reports whether at least one retry is left.
func (b Budget) Allows() bool { return b >= 1 }

// Take removes one retry from the budget.
func (b *Budget) Take() { *b-- }
