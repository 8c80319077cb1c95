package frontend

import (
	"io"
	"net"
	"plankrouter/internal/http1"
	"plankrouter/internal/sockopt"
	"time"
)

// isCrowded reports whether connections that find no place are refused at once.
func (s *Server) isCrowded() bool { return time.Now().Before(s.crowdedUntil) }

// turnAway accepts a connection for which there is no place, to refuse the request that it has brought, and reports whether there was one and
// something to do it with.
func (s *Server) turnAway(l net.Listener) bool {
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
	c := &conn{server: s, socket: s.budget.AdoptForRejection(nc), began: time.Now(), last: true, crowded: true}
	c.idleAt = c.began
	s.conns[c] = false
	c.wind(crowdedFor)
	s.running.Go(func() error { c.run(); return nil })
	return true
}

// turn words an answer that turns a message away before it is taken.
func (c *conn) turn(status int, last bool) *http1.Response {
	c.server.NotTaken.Add(1)
	return &http1.Response{Status: status, Close: last}
}

// linger waits a little for the consumer's close, and makes room before any other meanwhile. What it has sent beyond its
// request would turn a plain close into a reset, and that could overtake the answer. A flood is not read to its end: it
// gets a moment for the answer to arrive.
func (c *conn) linger() {
	c.socket.MarkUnused(0)
	if n, _ := io.CopyN(io.Discard, c.br, lingerMost); n == lingerMost {
		time.Sleep(floodFor)
	}
}

// lingering is for how long the connection waits for its client's close.
func (c *conn) lingering() time.Duration {
	switch {
	case c.crowded:
		return crowdedLinger
	case c.server.isClosing():
		return closingFor
	}
	return lingerFor
}
