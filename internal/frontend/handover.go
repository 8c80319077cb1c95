package frontend

import (
	"errors"
	"log"
	"net"
	"sync"

	"plankrouter/internal/connlimit"
)

// The notes that go with a connection to a successor say what its client has sent so far. A new connection has none.
const (
	noteHasSentMessage = "brought" // a whole message
	noteHasSentRequest = "known"   // a request
)

// KeepIdle keeps the connections that are open, however long they are idle, until Drain.
func (s *Server) KeepIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepIdle = true
}

// Expect keeps Serve from returning until done is called: a predecessor may still pass connections to Adopt.
func (s *Server) Expect() (done func()) {
	wait := make(chan struct{})
	s.running.Go(func() error { <-wait; return nil })
	return sync.OnceFunc(func() { close(wait) })
}

// Adopt serves a connection that a predecessor had, even beyond the limit on sockets: it is there already, and may bring a
// request. It is called between Expect and its done.
func (s *Server) Adopt(nc net.Conn, note []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReserveBeyondLimit(connlimit.Inbound)
	s.Adopted.Add(1)
	s.admit(nc, string(note))
}

// HandOver passes every connection on as soon as it is between two messages, with a note for the successor's Adopt, and
// returns a channel that is closed when none is left. Connections for which pass fails stay. The caller then stops the listener by
// a deadline, which Resume's caller removes.
func (s *Server) HandOver(pass func(c net.Conn, note []byte) error) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	allHandedOver := make(chan struct{})
	s.handOver = pass
	s.allHandedOver = allHandedOver
	s.resumed = make(chan struct{})
	for c, busy := range s.conns {
		if !busy {
			c.shortenIdle(0)
		}
	}
	return allHandedOver
}

// Resume ends HandOver: the successor is gone, and this process serves on.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = nil
	s.allHandedOver = nil
	s.acceptPaused = false
	close(s.resumed)
}

// IsHandingOver reports whether a handover is under way.
func (s *Server) IsHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// notifyIfAllHandedOver closes allHandedOver once no connection is left and none can be accepted. It is called with mu held.
func (s *Server) notifyIfAllHandedOver() {
	if s.allHandedOver != nil && s.acceptPaused && len(s.conns) == 0 {
		close(s.allHandedOver)
		s.allHandedOver = nil
	}
}

// errHandedOver ends the reader of a connection that a successor has.
var errHandedOver = errors.New("handed over")

// handOver gives the connection to a successor, if there is one. It is called by the connection's reader, between two messages, so that
// nothing touches the connection until the successor has it or pass has failed.
func (c *conn) handOver() bool {
	c.server.mu.Lock()
	pass := c.server.handOver
	busy := c.server.conns[c]
	c.server.mu.Unlock()
	if pass == nil || busy || c.reader.Buffered() > 0 || c.socket.IsEvicted() {
		return false
	}
	note := ""
	switch {
	case c.hasSentRequest:
		note = noteHasSentRequest
	case c.hasSentMessage:
		note = noteHasSentMessage
	}
	if err := pass(c.socket.Conn, []byte(note)); err != nil {
		log.Printf("client=%s state=not_handed_over err=%q", c.socket.RemoteAddr(), err)
		return false
	}
	return true
}
