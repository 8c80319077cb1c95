package connlimit

import "time"

// How the limit is shared out. A divisor of n means one place in n.
const (
	maxClosing          = 16               // connections that are being closed may exceed the limit by so many,
	closingDivisor      = 4                // or by this part of the limit if that is less
	inwardDivisor       = 2                // clients' connections may have this part of the places,
	inwardEvictDivisor  = 4                // from this part on a new one takes the place of an idle one,
	unusedDivisor       = 4                // and unused ones among them may have this part
	minUnusedAge        = time.Millisecond // for what an unused connection has sent to be read, once the backlog is favored
	rejectionDivisor    = 2                // connections that are only rejected may have this part of the places beyond the limit
	attemptsOnlyDivisor = 8                // this part of the places is left to attempts: neither clients nor probes take a free one of them
)

// MaxClosing is how many connections may be open beyond the limit, while those that have made room are being closed.
func MaxClosing(limit int) int { return min(maxClosing, max(1, limit/closingDivisor)) }

// MaxSocketsWithin is the highest limit under which so many descriptors suffice, including those of connections that are being closed; 0 = there
// is none.
func MaxSocketsWithin(descriptors int) (limit int) {
	for limit+1+MaxClosing(limit+1) <= descriptors {
		limit++
	}
	return limit
}

// limitBesideAttempts is how many places may be used before the others are left to attempts.
func (b *Budget) limitBesideAttempts() int { return b.limit - b.limit/attemptsOnlyDivisor }

// Side says who opened a connection.
type Side bool

// The sides. Inbound connections, which clients opened, leave room for the outward ones, without which nothing could be done for them.
const (
	Outbound Side = false
	Inbound  Side = true
)
