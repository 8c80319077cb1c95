package connlimit

import (
	"container/list"
	"net"
	"time"

	"plankrouter/internal/sockopt"
)

// Socket is a connection that counts under the limit until it is closed.
type Socket struct {
	net.Conn
	budget       *Budget
	side         Side
	evictList    *list.List    // of the Budget's, on which the connection is while it can make room
	evictElement *list.Element // its place there; nil = it can't make room
	evictableAt  time.Time     // from when on it can

	evicted, closed bool
}

// MarkIdle lets the connection make room once it has been idle for so long.
func (s *Socket) MarkIdle(after time.Duration) { s.markEvictable(&s.budget.idle, after) }

// MarkUnused is MarkIdle for a connection that has brought nothing yet: it makes room before any other.
func (s *Socket) MarkUnused(after time.Duration) { s.markEvictable(&s.budget.unused, after) }

func (s *Socket) markEvictable(evictList *list.List, after time.Duration) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed || s.evicted {
		return
	}
	s.unmarkEvictable()
	if b.backlogFavored && evictList == &b.unused {
		after = min(after, minUnusedAge)
	}
	s.evictList = evictList
	s.evictElement = evictList.PushBack(s)
	s.evictableAt = time.Now().Add(after)
	b.notifyFreed()
}

// MarkBusy takes the mark back. False means that the connection has been closed meanwhile.
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

// evict gives the connection's place away and wakes its reader, which closes it. Only the reader can tell whether a
// request has come in meanwhile, which would be lost if the connection were closed here.
func (s *Socket) evict() {
	s.unmarkEvictable()
	s.evicted = true
	s.budget.addUsed(s.side, -1)
	s.budget.evicted++
	_ = s.SetReadDeadline(time.Unix(1, 0)) // it fails on a closed connection, whose reader is awake
}

// IsEvicted reports whether the connection's place has been given away.
func (s *Socket) IsEvicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// ExtendReadDeadline sets the read deadline. On an evicted connection it reports false, and the reader has to end.
func (s *Socket) ExtendReadDeadline(t time.Time) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return !s.evicted && s.SetReadDeadline(t) == nil
}

// HasNothingUnread reports whether nothing is unread, neither bytes nor the other side's close or reset.
func (s *Socket) HasNothingUnread() bool { return sockopt.HasNothingUnread(s.Conn) }

// HasPeerClosed reports whether the other side has ended its sending or broken the connection.
func (s *Socket) HasPeerClosed() bool { return sockopt.HasPeerClosed(s.Conn) }

// SinceLastReceive is how long ago the last bytes came in, if that is known.
func (s *Socket) SinceLastReceive() (since time.Duration, known bool) {
	return sockopt.SinceLastReceive(s.Conn)
}

// Close closes the connection and gives its place back; further calls do nothing.
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

// CloseWrite ends the sending, on a connection that can do that.
func (s *Socket) CloseWrite() error {
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
