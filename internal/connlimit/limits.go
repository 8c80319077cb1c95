package connlimit

// The limit on sockets and how it is shared out.

import "time"

const (
	maxClosing         = 16               // the descriptors that those being closed may hold beyond the limit, at most,
	closingDivisor     = 4                // or one in so many of the limit, where that is less
	inwardDivisor      = 2                // connections from consumers may hold one in so many of the sockets,
	inwardEvictDivisor = 4                // one in so many while some of them are idle,
	unusedDivisor      = 4                // and strangers among them one in so many
	minUnusedAge       = time.Millisecond // for what a stranger has sent to be read, once strangers hurry
	rejectionDivisor   = 2                // of those beyond the limit, one in so many may be held by connections that find no place
	attemptDivisor     = 8                // one in so many is left to calls: neither consumers nor probes take it while it is free
)

// Closing is how many connections may be open beyond a limit of most sockets, while those that have made room are being closed.
func Closing(limit int) int { return min(maxClosing, max(1, limit/closingDivisor)) }

// Within is the limit under which so many descriptors suffice, with those that are being closed; 0 = there is none.
func Within(descriptors int) (limit int) {
	for limit+1+Closing(limit+1) <= descriptors {
		limit++
	}
	return limit
}

// Side says who opened a connection.
type Side bool

// The sides. Inward connections leave room for the outward ones, without which nothing could be done for them.
const (
	Outward Side = false
	Inward  Side = true
)

// limitBesideAttempts is what is used of the limit before some is left to calls alone.
func (b *Budget) limitBesideAttempts() int { return b.limit - b.limit/attemptDivisor }
