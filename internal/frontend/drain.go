package frontend

import (
	"net"
	"time"
)

// Drain closes the listener and the idle connections. The others are closed after their response; an incomplete request is
// rejected, because its rest may arrive at any time until the process is killed. Closing the listener would reset the
// connections in its backlog, whose requests count as accepted: Serve therefore accepts them first, and then closes the
// listener. During a handover the successor shares the backlog, and Drain closes the listener itself.
func (s *Server) Drain(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.drainStartedAt = time.Now()
		s.partialRequestDeadline = s.drainStartedAt.Add(partialRequestTimeout)
		s.budget.PrioritizeBacklog() // because the listener is about to be closed
		close(s.drainStarted)
	}
	if d, ok := l.(deadlineListener); s.serving && ok && s.handOver == nil && d.SetDeadline(s.drainStartedAt) == nil {
		return // Serve closes the listener and then the idle connections
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

// closeIdle closes the idle connections, and sets a deadline for messages that are received in part. A connection that was
// accepted since draining started keeps the deadline that admit has set for its one request. It is called with mu held.
func (s *Server) closeIdle() {
	for c, busy := range s.conns {
		switch {
		case !busy && !c.awaitsFirstRequest:
			c.shortenIdle(0)
		case c.readingMessage:
			c.socket.SetReadDeadline(s.partialRequestDeadline)
		}
	}
}

// closeAll closes all connections immediately: the dispatcher has stopped and sends no further responses.
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

// boundByDrain returns t, or the earlier deadline that applies to a message while draining. It is called with mu held.
func (s *Server) boundByDrain(t time.Time) time.Time {
	if s.draining && s.partialRequestDeadline.Before(t) {
		return s.partialRequestDeadline
	}
	return t
}
