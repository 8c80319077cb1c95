package frontend

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/faultinjection"
	"time"
)

// Serve accepts connections until Drain or the end of ctx, and returns when the last one has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.hangUp(l) })()
	defer s.running.Wait()
	defer l.Close()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	failures := 0      // of accept, in a row
	room := time.Now() // when there was a place last
	for !s.isLast() {
		if !s.budget.Reserve(connlimit.Inward) { // the kernel's backlog holds the client until there is room, or it has waited for long
			if (time.Since(room) > crowdedAfter || s.isCrowded()) && s.turnAway(l) {
				continue
			}
			select {
			case <-s.budget.Freed():
			case <-time.After(acceptPause): // some connection may have been idle for long enough now
			case <-ctx.Done():
				return nil
			}
			continue
		}
		nc, err := accept(l)
		room = time.Now()
		if err == nil {
			if failures > 0 {
				log.Printf("listen=%s state=accepts_again failures=%d", l.Addr(), failures)
				failures = 0
			}
			s.admitNew(nc)
			continue
		}
		s.budget.Release(connlimit.Inward)
		if resumed := s.pause(); resumed != nil {
			select {
			case <-resumed:
				continue
			case <-s.closed:
			case <-ctx.Done():
			}
			return nil
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && s.isClosing():
			continue
		}
		if failures++; failures == 1 {
			log.Printf("listen=%s state=accept_failed err=%q", l.Addr(), err)
		}
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
		}
	}
	s.acceptLast(ctx, l)
	return nil
}

// admitNew serves a connection that has just been accepted. Where it has waited for long in the backlog, others do, too: for a while those
// that find no place are refused at once.
func (s *Server) admitNew(nc net.Conn) {
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.admit(nc, "")
	if waited, known := c.socket.SinceArrival(); known && waited > crowdedAfter {
		s.crowdedUntil = time.Now().Add(crowdedStays)
	}
}

// admit serves a connection, with the note of the process that had it before. It is called with mu held.
func (s *Server) admit(nc net.Conn, note string) *conn {
	c := &conn{
		server: s, socket: s.budget.Adopt(nc, connlimit.Inward), began: time.Now(), brought: note != "",
		known: note == noteKnown,
	}
	if c.known {
		c.socket.MarkIdle(spareAfter)
	} else {
		c.socket.MarkUnused(strangerAfter)
	}
	s.conns[c] = false
	switch c.idleAt = c.began; {
	case s.closing && note != "": // between two messages, as those that Drain closes
		c.wind(0)
	case s.closing: // accepted at the last moment: it may still bring one request
		c.last = true
		c.wind(time.Until(s.closeAt) + closingFor)
	case s.pass != nil:
		c.wind(0)
	default:
		c.socket.ExtendReadDeadline(c.began.Add(lookEvery))
	}
	s.running.Go(func() error { c.run(); return nil })
	return c
}

// accept is l.Accept, which a soak may fail.
func accept(l net.Listener) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Accept()
}

// pause notes that no connection comes in any more, and returns a channel that is closed by Resume; nil without HandOver.
func (s *Server) pause() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pass == nil {
		return nil
	}
	s.paused = true
	s.leftEmpty()
	return s.resumed
}
