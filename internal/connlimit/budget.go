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
	mu      sync.Mutex
	most    int
	used    int
	inward  int // of those used
	leaving int // whose place has been given away and which are not closed yet
	hurried bool
	// What can make room, as lists of *Socket, in the order in which they do: strangers, which have brought nothing
	// yet, and idle ones. In each the least recently used is first.
	strangers, idle list.List
	freed           chan struct{}
	dial            Dialer
}

// NewBudget allows for most sockets; dial opens those that this side opens.
func NewBudget(most int, dial Dialer) *Budget {
	return &Budget{most: most, dial: dial, freed: make(chan struct{}, 1)}
}

// Limit allows for most sockets from now on. Where more are in use, idle ones to providers are closed at once, and none
// is opened until enough have ended; consumers keep theirs.
func (b *Budget) Limit(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	for e := b.idle.Front(); e != nil && b.used > most; {
		s := e.Value.(*Socket)
		if e = e.Next(); s.side == Outward {
			s.close()
		}
	}
	b.tell()
}

// Hurry has strangers make room as soon as another one wants it, and lets them have all places of their side: what waits to be let in
// is about to be lost.
func (b *Budget) Hurry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hurried = true
	now := time.Now()
	for e := b.strangers.Front(); e != nil; e = e.Next() {
		e.Value.(*Socket).spare = now
	}
	b.tell()
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
	case side == Inward && !b.hurried && b.strangers.Len() >= max(1, b.most/strangerPart):
		ok = b.takeFrom(&b.strangers, side)
	case side == Inward && b.inward >= b.most/inwardPart:
		ok = b.takeFrom(&b.strangers, Inward) || b.takeFrom(&b.idle, Inward)
	case b.used >= b.most || side == Inward && b.used >= b.common():
		ok = b.takeFrom(&b.strangers, Outward) || b.takeFrom(&b.idle, Outward)
	case side == Inward && b.inward >= b.most/easyPart:
		// Consumers have limits too: one whose sockets all hang on to connections that it asked once can't open another
		// and so can't make the room that it waits for.
		_ = b.takeFrom(&b.strangers, side) || b.takeFrom(&b.idle, side)
	}
	if ok {
		b.count(side, 1)
	}
	return ok
}

// ReserveBrief takes one of the places of connections that are about to be closed, beyond the limit: for an inward connection that is only told
// that there is no place. It goes to a Socket by AdoptBrief, or back by ReleaseBrief. Half of those places stay for connections that make
// room, unless strangers hurry.
func (b *Budget) ReserveBrief() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := Closing(b.most)
	if !b.hurried {
		most = max(1, most/briefPart)
	}
	if b.leaving >= most {
		return false
	}
	b.leaving++
	return true
}

// ReleaseBrief gives back a place that was not adopted.
func (b *Budget) ReleaseBrief() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving--
	b.tell()
}

// takeFrom frees the place of the first in the list that may be closed: for Inward one from a consumer, for Outward any.
func (b *Budget) takeFrom(l *list.List, side Side) bool {
	now := time.Now()
	for e := l.Front(); e != nil && b.leaving < Closing(b.most); e = e.Next() {
		if s := e.Value.(*Socket); !now.Before(s.spare) && (side == Outward || s.side == Inward) {
			s.leave()
			return true
		}
	}
	return false
}

func (b *Budget) count(side Side, n int) {
	b.used += n
	if side == Inward {
		b.inward += n
	}
}

// Scarce reports whether more than half of the places are taken.
func (b *Budget) Scarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.used > b.most
}

// Force takes one place whether or not the limit leaves it, for a connection that is there already.
func (b *Budget) Force(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(side, 1)
}

// Release gives back a place that was not adopted.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(side)
}

func (b *Budget) release(side Side) {
	b.count(side, -1)
	b.tell()
}

func (b *Budget) tell() {
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

// AdoptBrief binds a place of ReserveBrief to a connection, which is Leaving from the start.
func (b *Budget) AdoptBrief(c net.Conn) *Socket {
	return &Socket{Conn: c, budget: b, side: Inward, leaving: true}
}
