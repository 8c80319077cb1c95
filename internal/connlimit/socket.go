package connlimit

import (
	"container/list"
	"net"
	"plankrouter/internal/transient"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket is a connection that counts under the limit until it is closed.
type Socket struct {
	net.Conn
	budget       *Budget
	side         Side
	evictList    *list.List // of those that can make room
	evictElement *list.Element
	evictFrom    time.Time // not before

	evicted, closed bool
}

// MarkIdle marks the socket as one that may be closed to make room once it has been idle for so long.
func (s *Socket) MarkIdle(after time.Duration) { s.markEvictable(&s.budget.idle, after) }

// MarkUnused is Idle for a connection that has brought nothing yet: it makes room before any other.
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
	s.evictList, s.evictElement, s.evictFrom = evictList, evictList.PushBack(s), time.Now().Add(after)
	b.notifyFreed()
}

// MarkBusy takes the mark back. False means that the socket has been closed meanwhile.
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

// evict gives the socket's place away and wakes its reader, which closes it. Only the reader can tell whether a
// request has come in meanwhile: closed from here, the connection would take that along, and it would be lost.
func (s *Socket) evict() {
	s.unmarkEvictable()
	s.evicted = true
	s.budget.addUsed(s.side, -1)
	s.budget.evicted++
	s.Conn.SetReadDeadline(time.Unix(1, 0))
}

// ExtendReadDeadline sets the read deadline, unless the socket is to make room: then it reports false, and its reader is to end.
func (s *Socket) ExtendReadDeadline(t time.Time) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return !s.evicted && s.Conn.SetReadDeadline(t) == nil
}

// IsEvicted reports whether the socket's place has been given away.
func (s *Socket) IsEvicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// Quiet reports whether nothing that has come in is still unread, the other side's close or reset included.
func (s *Socket) Quiet() bool {
	var err error
	known := s.control(func(fd int) {
		var b [1]byte
		_, err = transient.Interrupted(func() (int, error) { return peek(fd, b[:]) })
	})
	return !known || err == syscall.EAGAIN
}

// Left reports whether the other side has ended its sending or broken the connection, also where what it sent before that is
// still unread.
func (s *Socket) Left() (left bool) {
	s.control(func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := transient.Interrupted(func() (int, error) { return poll(p, 0) })
		left = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}

// SinceArrival is how long ago the last bytes came in, read or not. Where the kernel does not tell, and the process may have been held up before
// it read them, it is not known.
func (s *Socket) SinceArrival() (since time.Duration, known bool) {
	known = true // of a connection within the process, by which bytes come at once
	s.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if known = err == nil && info.State != 0; known { // no state of a connection: nothing was told
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since, known
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

// CloseWrite tells the other side that nothing more comes, where the connection has a way to say so.
func (s *Socket) CloseWrite() error {
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
