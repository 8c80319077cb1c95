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
	if now := time.Now(); !s.draining {
		s.draining, s.drainStartedAt, s.partialUntil = true, now, now.Add(partialRequestTimeout)
		s.budget.FavorBacklog() // others wait in a backlog that is about to be closed
		close(s.drainStarted)
	}
	if d, ok := l.(deadlineListener); s.serving && ok && s.handOver == nil && d.SetDeadline(s.drainStartedAt) == nil {
		return // Serve closes the listener, and then what is idle
	}
	l.Close()
	s.closeIdle()
}

// lockAndCloseIdle is lockAndCloseIdle for who does not hold mu.
func (s *Server) lockAndCloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle()
}

// lockAndCloseIdle ends the connections that are between two messages, and has half a message be the last that is read of its connection. One that
// has been accepted since has a moment for its one request: see admit. It is called with mu held.
func (s *Server) closeIdle() {
	for c, busy := range s.conns {
		switch {
		case !busy && !c.acceptedLast:
			c.shortenIdle(0)
		case c.readingMessage:
			c.socket.SetReadDeadline(s.partialUntil)
		}
	}
}

// closeAll ends all at once: the core has stopped and answers no more.
func (s *Server) closeAll(l net.Listener) {
	l.Close()
	s.Drain(l)
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.socket.Close()
	}
}

// boundByDrain bounds the time for a message by the end of the front. It is called with mu held.
func (s *Server) boundByDrain(t time.Time) time.Time {
	if s.draining && s.partialUntil.Before(t) {
		return s.partialUntil
	}
	return t
}
