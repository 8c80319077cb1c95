package frontend

import (
	"net"
	"time"
)

// Drain closes the listener and the connections that are between two messages. The others end with their answer; of half a request that
// is a refusal, since its rest may come at any time up to the kill. What the kernel has accepted by then would be lost with the listener, with requests that count as taken: Serve takes that in first,
// and closes the listener. During a handover the successor holds the backlog too.
func (s *Server) Drain(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !s.closing {
		s.closing, s.closeAt, s.halfAt = true, now, now.Add(halfFor)
		s.budget.FavorBacklog() // others wait in a backlog that is about to be closed
		close(s.closed)
	}
	if d, ok := l.(deadliner); s.serving && ok && s.pass == nil && d.SetDeadline(s.closeAt) == nil {
		return // Serve closes the listener, and then what is idle
	}
	l.Close()
	s.windIdle()
}

// closeIdle is windIdle for who does not hold mu.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windIdle()
}

// windIdle ends the connections that are between two messages, and has half a message be the last that is read of its connection. One that
// has been accepted since has a moment for its one request: see admit. It is called with mu held.
func (s *Server) windIdle() {
	for c, busy := range s.conns {
		switch {
		case !busy && !c.last:
			c.wind(0)
		case c.reading:
			c.socket.SetReadDeadline(s.halfAt)
		}
	}
}

// hangUp ends all at once: the core has stopped and answers no more.
func (s *Server) hangUp(l net.Listener) {
	l.Close()
	s.Drain(l)
	close(s.hung)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.socket.Close()
	}
}

// readUntil bounds the time for a message by the end of the front. It is called with mu held.
func (s *Server) readUntil(t time.Time) time.Time {
	if s.closing && s.halfAt.Before(t) {
		return s.halfAt
	}
	return t
}
