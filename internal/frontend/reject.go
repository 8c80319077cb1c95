package frontend

import (
	"io"
	"net"
	"plankrouter/internal/http1"
	"plankrouter/internal/sockopt"
	"time"
)

// rejectsAtOnce reports whether connections that find no place are refused at once.
func (s *Server) rejectsAtOnce() bool { return time.Now().Before(s.rejectUntil) }

// rejectConnection accepts a connection for which there is no place, to refuse the request that it has brought, and reports whether there was one and
// something to do it with.
func (s *Server) rejectConnection(l net.Listener) bool {
	waiting, err := sockopt.HasBacklog(l)
	if err != nil || !waiting || !s.budget.ReserveForRejection() {
		return false
	}
	nc, err := accept(l)
	if err != nil {
		s.budget.ReleaseForRejection()
		return false
	}
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{server: s, socket: s.budget.AdoptForRejection(nc), acceptedAt: time.Now(), acceptedLast: true, rejected: true}
	c.idleSince = c.acceptedAt
	s.conns[c] = false
	c.shortenIdle(rejectionRequestTimeout)
	s.running.Go(func() error { c.run(); return nil })
	return true
}

// rejection words an answer that turns a message away before it is taken.
func (c *conn) rejection(status int, last bool) *http1.Response {
	c.server.NotTaken.Add(1)
	return &http1.Response{Status: status, Close: last}
}

// lingerForClose waits a little for the consumer's close, and makes room before any other meanwhile. What it has sent beyond its
// request would turn a plain close into a reset, and that could overtake the answer. A flood is not read to its end: it
// gets a moment for the answer to arrive.
func (c *conn) lingerForClose() {
	c.socket.MarkUnused(0)
	if n, _ := io.CopyN(io.Discard, c.reader, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(floodDelay)
	}
}

// lingerTime is for how long the connection waits for its client's close.
func (c *conn) lingerTime() time.Duration {
	switch {
	case c.rejected:
		return rejectionLinger
	case c.server.isStopping():
		return drainLinger
	}
	return lingerTimeout
}
