// Package connlimit enforces one limit on the sockets of all inbound and outbound connections. When it is reached, idle
// connections are evicted for new ones, the least recently used first.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Budget counts the sockets in use against a limit. It is safe for concurrent use.
type Budget struct {
	mu                 sync.Mutex
	limit              int
	used               int
	inbound            int // slots used by inbound connections, which used includes
	evicted            int // connections that have lost their slot and are not closed yet, including those of ReserveForRejection
	backlogPrioritized bool
	// Connections that can be evicted, as lists of *Socket, the least recently used first. Unused ones, from which no request
	// has been received yet, are evicted before idle ones.
	unused, idle list.List
	freed        chan struct{}
	dial         Dialer
}

// NewBudget returns a Budget of limit sockets; dial opens connections to servers.
func NewBudget(limit int, dial Dialer) *Budget {
	return &Budget{limit: limit, dial: dial, freed: make(chan struct{}, 1)}
}

// SetLimit changes the limit. If more sockets are in use, idle connections to servers are closed at once, and none is opened
// until the number is below the limit; connections of clients stay open.
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

// PrioritizeBacklog makes unused connections evictable at once and lifts the limit on their number among the inbound ones:
// connections that still wait in the backlog when the listener is closed are lost.
func (b *Budget) PrioritizeBacklog() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backlogPrioritized = true
	now := time.Now()
	for e := b.unused.Front(); e != nil; e = e.Next() {
		e.Value.(*Socket).evictableAt = now
	}
	b.notifyFreed()
}

// Reserve takes one slot under the limit and reports whether there was one. If none is free, it evicts an unused connection
// or else the least recently used idle one. The caller passes the slot to Adopt or returns it with Release. Once inbound
// connections have their share of the limit, a new one evicts only inbound ones. Once unused ones have theirs, it evicts only
// unused ones, so that hundreds of connections that send nothing can't keep out those that send requests. Below their share,
// inbound connections also evict idle connections to servers: a client in the kernel's backlog has a request waiting.
func (b *Budget) Reserve(side Side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := true
	switch {
	case side == Inbound && !b.backlogPrioritized && b.unused.Len() >= max(1, b.limit/unusedDivisor):
		ok = b.evictFirst(&b.unused, side)
	case side == Inbound && b.inbound >= b.limit/inboundDivisor:
		ok = b.evictFirst(&b.unused, Inbound) || b.evictFirst(&b.idle, Inbound)
	case b.used >= b.limit || side == Inbound && b.used >= b.limitExceptAttempts():
		ok = b.evictFirst(&b.unused, Outbound) || b.evictFirst(&b.idle, Outbound)
	case side == Inbound && b.inbound >= b.limit/inboundEvictDivisor:
		// Evicts early, because clients have limits, too: one whose sockets are all idle connections to this process can't open
		// another connection and so can't cause the eviction that it waits for.
		_ = b.evictFirst(&b.unused, side) || b.evictFirst(&b.idle, side)
	}
	if ok {
		b.addUsed(side, 1)
	}
	return ok
}

// ReserveBeyondLimit takes one slot even if the limit is reached, for a connection that is open already.
func (b *Budget) ReserveBeyondLimit(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUsed(side, 1)
}

// Adopt assigns a reserved slot to a connection and returns its Socket, which releases the slot when closed.
func (b *Budget) Adopt(c net.Conn, side Side) *Socket { return &Socket{Conn: c, budget: b, side: side} }

// Release returns a reserved slot that was not adopted.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(side)
}

// release is Release for callers that hold the mutex.
func (b *Budget) release(side Side) {
	b.addUsed(side, -1)
	b.notifyFreed()
}

// ReserveForRejection takes one of the slots beyond the limit that are meant for connections being closed, and reports
// whether there was one. It is for an inbound connection that only gets a response that rejects it. The caller passes the
// slot to AdoptForRejection or returns it with ReleaseForRejection. A part of these slots is left to evicted connections,
// unless PrioritizeBacklog has been called.
func (b *Budget) ReserveForRejection() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := MaxClosing(b.limit)
	if !b.backlogPrioritized {
		limit = max(1, limit/rejectionDivisor)
	}
	if b.evicted >= limit {
		return false
	}
	b.evicted++
	return true
}

// AdoptForRejection assigns a slot of ReserveForRejection to a connection, which counts as evicted from the start.
func (b *Budget) AdoptForRejection(c net.Conn) *Socket {
	return &Socket{Conn: c, budget: b, side: Inbound, evicted: true}
}

// ReleaseForRejection returns a slot of ReserveForRejection that was not adopted.
func (b *Budget) ReleaseForRejection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evicted--
	b.notifyFreed()
}

// evictFirst evicts the first evictable candidate and reports whether there was one: for Inbound an inbound connection, for
// Outbound any.
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
		b.inbound += n
	}
}

// IsOverHalfUsed reports whether more than half of the slots are in use.
func (b *Budget) IsOverHalfUsed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.used > b.limit
}

// Used returns the number of slots in use.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Freed returns a channel that receives a value when a slot has been released or a connection has become evictable. It
// wakes one waiter.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

func (b *Budget) notifyFreed() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
