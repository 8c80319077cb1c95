package frontend

import (
	"net"
	"time"
)

// Drain closes the listener and the connections that are between two messages. The others end with their answer, which to a part of a
// request is a refusal, since the rest may come at any time up to the kill. What waits in the backlog would be lost with the listener,
// along with requests that count as accepted: Serve accepts that first, and closes the listener. During a handover the successor has
// the backlog too.
func (s *Server) Drain(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.drainStartedAt = time.Now()
		s.partialUntil = s.drainStartedAt.Add(partialRequestTimeout)
		s.budget.PrioritizeBacklog() // it is about to be closed
		close(s.drainStarted)
	}
	if d, ok := l.(deadlineListener); s.serving && ok && s.handOver == nil && d.SetDeadline(s.drainStartedAt) == nil {
		return // Serve closes the listener, and then what is idle
	}
	l.Close()
	s.closeIdle()
}

// lockAndCloseIdle is closeIdle for callers that do not hold mu.
func (s *Server) lockAndCloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle()
}

// closeIdle ends the connections that are between two messages, and bounds the time for messages of which a part has come. A connection
// that was accepted since draining started has a moment for its one request: see admit. It is called with mu held.
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

// closeAll ends all connections at once: the dispatcher has stopped and answers no more.
func (s *Server) closeAll(l net.Listener) {
	l.Close()
	s.Drain(l)
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.socket.Close()
	}
}

// boundByDrain bounds the time for a message while draining. It is called with mu held.
func (s *Server) boundByDrain(t time.Time) time.Time {
	if s.draining && s.partialUntil.Before(t) {
		return s.partialUntil
	}
	return t
}
