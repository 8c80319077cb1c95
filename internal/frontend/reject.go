package frontend

import (
	"io"
	"net"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/sockopt"
)

// rejectsAtOnce reports whether connections that find no place are rejected at once.
func (s *Server) rejectsAtOnce() bool { return time.Now().Before(s.rejectUntil) }

// rejectConnection accepts a connection for which there is no place, to refuse the request that it sends. False means that none waits in
// the backlog, or that there is no place for a rejection either.
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
		server: s, socket: s.budget.AdoptForRejection(accepted), acceptedAt: time.Now(), acceptedLast: true, rejected: true,
	}
	c.idleSince = c.acceptedAt
	s.conns[c] = false
	c.shortenIdle(rejectionRequestTimeout)
	s.running.Go(func() error { c.run(); return nil })
	return true
}

// rejection is the answer to a message that is not submitted as a request.
func (c *conn) rejection(status int, closeConn bool) *http1.Response {
	c.server.Rejected.Add(1)
	return &http1.Response{Status: status, Close: closeConn}
}

// lingerForClose waits a little for the client's close; meanwhile the connection makes room before any other. Bytes that the client has
// sent beyond its request would turn a plain close into a reset, which could overtake the answer. A flood is not read to its end: the
// answer gets a moment to arrive.
func (c *conn) lingerForClose() {
	c.socket.MarkUnused(0)
	if n, _ := io.CopyN(io.Discard, c.reader, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(floodDelay)
	}
}

// lingerTime is how long the connection waits for its client's close.
func (c *conn) lingerTime() time.Duration {
	switch {
	case c.rejected:
		return rejectionLinger
	case c.server.isDraining():
		return drainLinger
	}
	return lingerTimeout
}
