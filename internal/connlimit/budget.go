// Package connlimit keeps the connections of all kinds together under one limit. Idle ones make room for new
// ones, the least recently used first.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Budget is the limit and the places that are taken under it. It is safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	limit          int
	used           int
	inward         int // of those used
	evicted        int // connections whose place is given away and which are not closed yet
	backlogFavored bool
	// The connections that can make room, as lists of *Socket, the least recently used first: unused ones, which have brought
	// nothing yet, go before idle ones.
	unused, idle list.List
	freed        chan struct{}
	dial         Dialer
}

// NewBudget allows for limit sockets; dial opens connections to servers.
func NewBudget(limit int, dial Dialer) *Budget {
	return &Budget{limit: limit, dial: dial, freed: make(chan struct{}, 1)}
}

// SetLimit sets another limit. If more sockets are in use, idle ones to servers are closed at once, and none is opened until enough have
// ended; clients keep theirs.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	for e := b.idle.Front(); e != nil && b.used > limit; {
		s := e.Value.(*Socket)
		e = e.Next()
		if s.side == Outbound {
			_ = s.close()
		}
	}
	b.notifyFreed()
}

// PrioritizeBacklog has unused connections make room as soon as another one wants it, and lets them have all places of their side: what
// waits in the backlog is about to be lost.
func (b *Budget) PrioritizeBacklog() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backlogFavored = true
	now := time.Now()
	for e := b.unused.Front(); e != nil; e = e.Next() {
		e.Value.(*Socket).evictableAt = now
	}
	b.notifyFreed()
}

// Reserve takes one place under the limit, if need be that of an unused connection or of the idle one least recently used. The
// place goes to a Socket by Adopt, or back by Release. Inward connections beyond their part only make room for one another, and
// so do unused ones beyond theirs: hundreds that send nothing must not keep out those that do. Up to their part they also take the
// places of idle ones to servers: a client that waits in the kernel's backlog has a request.
func (b *Budget) Reserve(side Side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := true
	switch {
	case side == Inbound && !b.backlogFavored && b.unused.Len() >= max(1, b.limit/unusedDivisor):
		ok = b.evictFirst(&b.unused, side)
	case side == Inbound && b.inward >= b.limit/inwardDivisor:
		ok = b.evictFirst(&b.unused, Inbound) || b.evictFirst(&b.idle, Inbound)
	case b.used >= b.limit || side == Inbound && b.used >= b.limitBesideAttempts():
		ok = b.evictFirst(&b.unused, Outbound) || b.evictFirst(&b.idle, Outbound)
	case side == Inbound && b.inward >= b.limit/inwardEvictDivisor:
		// Clients have limits too: one whose sockets are all idle connections to this process can't open another and so can't
		// cause the eviction that it waits for.
		_ = b.evictFirst(&b.unused, side) || b.evictFirst(&b.idle, side)
	}
	if ok {
		b.addUsed(side, 1)
	}
	return ok
}

// ReserveBeyondLimit takes one place even if the limit does not leave it, for a connection that is there already.
func (b *Budget) ReserveBeyondLimit(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUsed(side, 1)
}

// Adopt binds a reserved place to a connection.
func (b *Budget) Adopt(c net.Conn, side Side) *Socket { return &Socket{Conn: c, budget: b, side: side} }

// Release gives back a place that was not adopted.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(side)
}

func (b *Budget) release(side Side) {
	b.addUsed(side, -1)
	b.notifyFreed()
}

// ReserveForRejection takes one of the places beyond the limit that connections have which are about to be closed: for an inward
// connection that is only told that there is no place. It goes to a Socket by AdoptForRejection, or back by ReleaseForRejection. A part
// of those places stays for connections that make room, unless the backlog is favored.
func (b *Budget) ReserveForRejection() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := MaxClosing(b.limit)
	if !b.backlogFavored {
		limit = max(1, limit/rejectionDivisor)
	}
	if b.evicted >= limit {
		return false
	}
	b.evicted++
	return true
}

// AdoptForRejection binds a place of ReserveForRejection to a connection, which counts as evicted from the start.
func (b *Budget) AdoptForRejection(c net.Conn) *Socket {
	return &Socket{Conn: c, budget: b, side: Inbound, evicted: true}
}

// ReleaseForRejection gives back a place that was not adopted.
func (b *Budget) ReleaseForRejection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evicted--
	b.notifyFreed()
}

// evictFirst frees the place of the first candidate that may be evicted: for Inward a client's connection, for Outward any.
func (b *Budget) evictFirst(candidates *list.List, side Side) bool {
	now := time.Now()
	for e := candidates.Front(); e != nil && b.evicted < MaxClosing(b.limit); e = e.Next() {
		s := e.Value.(*Socket)
		if !now.Before(s.evictableAt) && (side == Outbound || s.side == Inbound) {
			s.evict()
			return true
		}
	}
	return false
}

func (b *Budget) addUsed(side Side, n int) {
	b.used += n
	if side == Inbound {
		b.inward += n
	}
}

// IsOverHalfUsed reports whether more than half of the places are taken.
func (b *Budget) IsOverHalfUsed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.used > b.limit
}

// Used is the number of places taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Freed wakes one waiter when a place has been given back or a connection can make room.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

func (b *Budget) notifyFreed() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
