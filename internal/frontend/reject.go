package frontend

import (
	"net"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/sockopt"
)

// rejectsImmediately reports whether connections beyond the limit are rejected immediately.
func (s *Server) rejectsImmediately() bool { return time.Now().Before(s.rejectUntil) }

// rejectConnection accepts a connection beyond the limit in order to reject its request. It returns false if none waits in
// the backlog, or if the limit on rejected connections is reached, too.
func (s *Server) rejectConnection(l net.Listener) bool {
	waiting, err := sockopt.HasBacklog(l)
	if err != nil || !waiting || !s.budget.ReserveForRejection() {
		return false
	}
	accepted, err := accept(l)
	if err != nil {
		s.budget.ReleaseForRejection()
		return false
	}
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{
		server: s, socket: s.budget.AdoptForRejection(accepted), acceptedAt: time.Now(), awaitsFirstRequest: true, rejected: true,
	}
	c.idleSince = c.acceptedAt
	s.conns[c] = false
	c.shortenIdle(rejectionRequestTimeout)
	s.running.Go(func() error { c.run(); return nil })
	return true
}

// rejection returns the response to a message that is not submitted as a request, and counts it.
func (c *conn) rejection(status int, closeConn bool) *http1.Response {
	c.server.Rejected.Add(1)
	return &http1.Response{Status: status, Close: closeConn}
}
