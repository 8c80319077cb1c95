package connlimit

import "time"

// Bounds on connections, most of them as shares of the limit. A divisor of n means a share of 1/n of the slots.
const (
	closingCap          = 16               // upper bound of the connections beyond the limit that are being closed
	closingDivisor      = 4                // share of the limit that bounds the connections being closed, too
	inboundDivisor      = 2                // maximum share of inbound connections
	inboundEvictDivisor = 4                // share of inbound connections from which a new one evicts an unused or idle one
	unusedDivisor       = 4                // maximum share of unused inbound connections
	minUnusedAge        = time.Millisecond // time to read from an unused connection until it is evictable, after PrioritizeBacklog
	rejectionDivisor    = 2                // maximum share, of the slots beyond the limit, of connections that are only rejected
	attemptsOnlyDivisor = 8                // share reserved for attempts: inbound connections and probes take no free slot of it
)

// MaxClosing returns how many connections may be open beyond the limit while evicted ones are being closed.
func MaxClosing(limit int) int { return min(closingCap, max(1, limit/closingDivisor)) }

// MaxSocketsWithin returns the highest limit for which the given number of descriptors suffices, including those of connections
// being closed; 0 if there is none.
func MaxSocketsWithin(descriptors int) (limit int) {
	for limit+1+MaxClosing(limit+1) <= descriptors {
		limit++
	}
	return limit
}

// limitExceptAttempts returns the limit without the slots reserved for attempts.
func (b *Budget) limitExceptAttempts() int { return b.limit - b.limit/attemptsOnlyDivisor }

// Side is the direction in which a connection was opened.
type Side bool

// Directions of connections.
const (
	Outbound Side = false // to a server
	Inbound  Side = true  // from a client; limited to a share, because its requests need outbound connections
)
