package connlimit

import (
	"container/list"
	"net"
	"time"

	"plankrouter/internal/sockopt"
)

// Socket is a connection that occupies a slot of its Budget until it is closed or evicted.
type Socket struct {
	net.Conn
	budget       *Budget
	side         Side
	evictList    *list.List    // list of the Budget that holds the connection while it is evictable
	evictElement *list.Element // element of evictList; nil = not evictable
	evictableAt  time.Time     // time from which the connection can be evicted

	evicted, closed bool
}

// MarkIdle makes the connection evictable after the given time.
func (s *Socket) MarkIdle(after time.Duration) { s.markEvictable(&s.budget.idle, after) }

// MarkUnused is like MarkIdle, for a connection from which no request has been received yet: it is evicted before idle ones.
func (s *Socket) MarkUnused(after time.Duration) { s.markEvictable(&s.budget.unused, after) }

func (s *Socket) markEvictable(evictList *list.List, after time.Duration) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed || s.evicted {
		return
	}
	s.unmarkEvictable()
	if b.backlogPrioritized && evictList == &b.unused {
		after = min(after, minUnusedAge)
	}
	s.evictList = evictList
	s.evictElement = evictList.PushBack(s)
	s.evictableAt = time.Now().Add(after)
	b.notifyFreed()
}

// MarkBusy makes the connection not evictable. It reports false if the connection has been closed meanwhile.
func (s *Socket) MarkBusy() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.unmarkEvictable()
	return !s.closed
}

func (s *Socket) unmarkEvictable() {
	if s.evictElement != nil {
		s.evictList.Remove(s.evictElement)
		s.evictElement = nil
	}
}

// evict frees the connection's slot and wakes its reader, which closes the connection. It is not closed here because only
// the reader knows whether a request has arrived meanwhile, which would be lost.
func (s *Socket) evict() {
	s.unmarkEvictable()
	s.evicted = true
	s.budget.addUsed(s.side, -1)
	s.budget.evicted++
	_ = s.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose reader has returned already
}

// IsEvicted reports whether the connection has lost its slot; its reader has to close it.
func (s *Socket) IsEvicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// ExtendReadDeadline sets the read deadline. It reports false if the connection is evicted or the deadline can't be set; the
// reader then has to close the connection.
func (s *Socket) ExtendReadDeadline(t time.Time) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return !s.evicted && s.SetReadDeadline(t) == nil
}

// HasNothingUnread reports whether there is nothing to read, neither bytes nor a close or reset by the peer.
func (s *Socket) HasNothingUnread() bool { return sockopt.HasNothingUnread(s.Conn) }

// HasPeerClosed reports whether the peer has closed its sending side or reset the connection.
func (s *Socket) HasPeerClosed() bool { return sockopt.HasPeerClosed(s.Conn) }

// SinceLastReceive returns the time since the last bytes arrived, if it is known.
func (s *Socket) SinceLastReceive() (since time.Duration, known bool) {
	return sockopt.SinceLastReceive(s.Conn)
}

// Unread returns how many bytes have been received and not read, if it is known.
func (s *Socket) Unread() (bytes int, known bool) { return sockopt.Unread(s.Conn) }

// Close closes the connection and releases its slot; further calls do nothing.
func (s *Socket) Close() error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.close()
}

func (s *Socket) close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.unmarkEvictable()
	err := s.Conn.Close()
	if s.evicted {
		s.budget.evicted--
		s.budget.notifyFreed()
	} else {
		s.budget.release(s.side)
	}
	return err
}

// CloseWrite closes the sending side, if the connection supports that.
func (s *Socket) CloseWrite() error {
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
