package frontend

import (
	"errors"
	"log"
	"net"
	"plankrouter/internal/connlimit"
	"sync"
)

// The notes that go with a connection to a successor: what it has brought so far. A new one has none.
const (
	noteHasSentMessage = "brought" // a message
	noteHasSentRequest = "known"   // an invocation
)

// Stay keeps the connections that are open, however long they are idle, until Drain.
func (s *Server) Stay() {
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

// Adopt serves a connection that a predecessor had, whether or not the limit on sockets leaves room: it is there already,
// and may have brought a request. It is called between Expect and its done.
func (s *Server) Adopt(nc net.Conn, note []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReserveBeyondLimit(connlimit.Inward)
	s.Adopted.Add(1)
	s.admit(nc, string(note))
}

// HandOver passes every connection on as soon as it is between two messages, with a note for the successor's Adopt, and
// returns a channel that is closed when none is left. What pass fails for stays. The caller then stops the listener by a
// deadline, which Resume's caller takes back.
func (s *Server) HandOver(pass func(c net.Conn, note []byte) error) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty := make(chan struct{})
	s.handOver, s.allHandedOver, s.resumed = pass, empty, make(chan struct{})
	for c, busy := range s.conns {
		if !busy {
			c.shortenIdle(0)
		}
	}
	return empty
}

// Resume ends HandOver: the successor is gone, and this process serves on.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver, s.allHandedOver, s.acceptPaused = nil, nil, false
	close(s.resumed)
}

// Passing reports whether a successor is being given the connections.
func (s *Server) Passing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// notifyIfAllHandedOver tells the one who hands over that no connection is left nor to come. It is called with mu held.
func (s *Server) notifyIfAllHandedOver() {
	if s.allHandedOver != nil && s.acceptPaused && len(s.conns) == 0 {
		close(s.allHandedOver)
		s.allHandedOver = nil
	}
}

// errHandedOver is why the reader of a connection that has been handed over ends.
var errHandedOver = errors.New("handed over")

// handOver gives the connection to a successor, if there is one. All that was read of it has been dealt with, and its
// reader is here: nobody touches it until the successor has it or has not got it.
func (c *conn) handOver() bool {
	c.server.mu.Lock()
	pass, busy := c.server.handOver, c.server.conns[c]
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
		log.Printf("consumer=%s state=not_handed_over err=%q", c.socket.RemoteAddr(), err)
		return false
	}
	return true
}
