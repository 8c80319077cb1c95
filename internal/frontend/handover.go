package frontend

import (
	"errors"
	"log"
	"net"
	"sync"

	"plankrouter/internal/connlimit"
)

// The notes that are transferred with a connection to a successor: what its client has sent so far. A new connection has an
// empty note.
const (
	noteHasSentMessage = "brought" // a complete message, but no request
	noteHasSentRequest = "known"   // at least one request
)

// KeepIdle keeps idle connections open until Drain, regardless of how long they are idle.
func (s *Server) KeepIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepIdle = true
}

// ExpectAdoptions keeps Serve from returning until done is called, because a predecessor may still transfer connections to
// Adopt.
func (s *Server) ExpectAdoptions() (done func()) {
	wait := make(chan struct{})
	s.running.Go(func() error { <-wait; return nil })
	return sync.OnceFunc(func() { close(wait) })
}

// Adopt serves a connection that a predecessor has transferred, even beyond the limit on sockets, since it is already
// established and may carry a request. It must be called after ExpectAdoptions and before its done.
func (s *Server) Adopt(nc net.Conn, note []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReserveBeyondLimit(connlimit.Inbound)
	s.Adopted.Add(1)
	s.admit(nc, string(note))
}

// HandOver transfers every connection to a successor as soon as it is idle, by calling pass with a note for the successor's
// Adopt. It returns a channel that is closed when no connection is left. Connections for which pass fails are kept. The
// caller has to set a deadline on the listener afterwards, so that accepting stops, and to remove it before Resume.
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

// Resume cancels HandOver after the successor was lost: this process continues to serve.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = nil
	s.allHandedOver = nil
	s.acceptPaused = false
	close(s.resumed)
}

// IsHandingOver reports whether a handover is in progress.
func (s *Server) IsHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// notifyIfAllHandedOver closes allHandedOver if no connection is left and accepting has stopped. It is called with mu held.
func (s *Server) notifyIfAllHandedOver() {
	if s.allHandedOver != nil && s.acceptPaused && len(s.conns) == 0 {
		close(s.allHandedOver)
		s.allHandedOver = nil
	}
}

// errHandedOver ends the reader of a connection that was transferred to a successor.
var errHandedOver = errors.New("handed over")

// handOver transfers the idle connection to the successor, and reports whether it did. It is called by the connection's
// reader, so that nothing else uses the connection until the successor has it or pass has failed.
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
