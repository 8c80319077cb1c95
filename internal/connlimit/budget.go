// Package connlimit keeps the connections of all kinds together under one limit. Idle ones make room for new
// ones, the least recently used first.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Budget is the limit and what is held under it. It is safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	limit          int
	used           int
	inward         int // of those used
	evicted        int // whose place has been given away and which are not closed yet
	backlogFavored bool
	// What can make room, as lists of *Socket, in the order in which they do: strangers, which have brought nothing
	// yet, and idle ones. In each the least recently used is first.
	unused, idle list.List
	freed        chan struct{}
	dial         Dialer
}

// NewBudget allows for most sockets; dial opens those that this side opens.
func NewBudget(limit int, dial Dialer) *Budget {
	return &Budget{limit: limit, dial: dial, freed: make(chan struct{}, 1)}
}

// Limit allows for most sockets from now on. Where more are in use, idle ones to providers are closed at once, and none
// is opened until enough have ended; consumers keep theirs.
func (b *Budget) Limit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	for e := b.idle.Front(); e != nil && b.used > limit; {
		s := e.Value.(*Socket)
		if e = e.Next(); s.side == Outward {
			s.close()
		}
	}
	b.notifyFreed()
}

// FavorBacklog has strangers make room as soon as another one wants it, and lets them have all places of their side: what waits to be let in
// is about to be lost.
func (b *Budget) FavorBacklog() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backlogFavored = true
	now := time.Now()
	for e := b.unused.Front(); e != nil; e = e.Next() {
		e.Value.(*Socket).evictFrom = now
	}
	b.notifyFreed()
}

// Reserve takes one place under the limit, if need be that of a stranger or of the idle socket least recently used. The
// place goes to a Socket by Adopt, or back by Release. Inward connections beyond their part make room for one another
// alone, and strangers beyond theirs: hundreds that say nothing must not keep out those that have something to say. Up to
// their part they take the places of idle ones to providers, too: a consumer that waits in the kernel's backlog has a request.
func (b *Budget) Reserve(side Side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := true
	switch {
	case side == Inward && !b.backlogFavored && b.unused.Len() >= max(1, b.limit/unusedDivisor):
		ok = b.evictFrom(&b.unused, side)
	case side == Inward && b.inward >= b.limit/inwardDivisor:
		ok = b.evictFrom(&b.unused, Inward) || b.evictFrom(&b.idle, Inward)
	case b.used >= b.limit || side == Inward && b.used >= b.limitBesideAttempts():
		ok = b.evictFrom(&b.unused, Outward) || b.evictFrom(&b.idle, Outward)
	case side == Inward && b.inward >= b.limit/inwardEvictDivisor:
		// Consumers have limits too: one whose sockets all hang on to connections that it asked once can't open another
		// and so can't make the room that it waits for.
		_ = b.evictFrom(&b.unused, side) || b.evictFrom(&b.idle, side)
	}
	if ok {
		b.addUsed(side, 1)
	}
	return ok
}

// ReserveForRejection takes one of the places of connections that are about to be closed, beyond the limit: for an inward connection that is only told
// that there is no place. It goes to a Socket by AdoptForRejection, or back by ReleaseForRejection. Half of those places stay for connections that make
// room, unless strangers hurry.
func (b *Budget) ReserveForRejection() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := Closing(b.limit)
	if !b.backlogFavored {
		limit = max(1, limit/rejectionDivisor)
	}
	if b.evicted >= limit {
		return false
	}
	b.evicted++
	return true
}

// ReleaseForRejection gives back a place that was not adopted.
func (b *Budget) ReleaseForRejection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evicted--
	b.notifyFreed()
}

// evictFrom frees the place of the first in the list that may be closed: for Inward one from a consumer, for Outward any.
func (b *Budget) evictFrom(candidates *list.List, side Side) bool {
	now := time.Now()
	for e := candidates.Front(); e != nil && b.evicted < Closing(b.limit); e = e.Next() {
		if s := e.Value.(*Socket); !now.Before(s.evictFrom) && (side == Outward || s.side == Inward) {
			s.evict()
			return true
		}
	}
	return false
}

func (b *Budget) addUsed(side Side, n int) {
	b.used += n
	if side == Inward {
		b.inward += n
	}
}

// IsScarce reports whether more than half of the places are taken.
func (b *Budget) IsScarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.used > b.limit
}

// ReserveBeyondLimit takes one place whether or not the limit leaves it, for a connection that is there already.
func (b *Budget) ReserveBeyondLimit(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUsed(side, 1)
}

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

func (b *Budget) notifyFreed() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// Freed tells one waiter that a place has been given back or a socket has become idle.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

// Used is the number of places taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Adopt binds a reserved place to a connection.
func (b *Budget) Adopt(c net.Conn, side Side) *Socket { return &Socket{Conn: c, budget: b, side: side} }

// AdoptForRejection binds a place of ReserveForRejection to a connection, which is Leaving from the start.
func (b *Budget) AdoptForRejection(c net.Conn) *Socket {
	return &Socket{Conn: c, budget: b, side: Inward, evicted: true}
}
