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
	defer context.AfterFunc(ctx, func() { s.closeAll(l) })()
	defer s.running.Wait()
	defer l.Close()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	failures := 0      // of accept, in a row
	room := time.Now() // when there was a place last
	for !s.isDraining() {
		if !s.budget.Reserve(connlimit.Inward) { // the kernel's backlog holds the client until there is room, or it has waited for long
			if (time.Since(room) > maxBacklogWait || s.rejectsAtOnce()) && s.rejectConnection(l) {
				continue
			}
			select {
			case <-s.budget.Freed():
			case <-time.After(acceptRetryInterval): // some connection may have been idle for long enough now
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
		if resumed := s.pauseAccepting(); resumed != nil {
			select {
			case <-resumed:
				continue
			case <-s.drainStarted:
			case <-ctx.Done():
			}
			return nil
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && s.isStopping():
			continue
		}
		if failures++; failures == 1 {
			log.Printf("listen=%s state=accept_failed err=%q", l.Addr(), err)
		}
		select {
		case <-time.After(acceptRetryInterval):
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
	if waited, known := c.socket.SinceArrival(); known && waited > maxBacklogWait {
		s.rejectUntil = time.Now().Add(rejectionPeriod)
	}
}

// admit serves a connection, with the note of the process that had it before. It is called with mu held.
func (s *Server) admit(nc net.Conn, note string) *conn {
	c := &conn{
		server: s, socket: s.budget.Adopt(nc, connlimit.Inward), acceptedAt: time.Now(), hasSentMessage: note != "",
		hasSentRequest: note == noteHasSentRequest,
	}
	if c.hasSentRequest {
		c.socket.MarkIdle(minIdleAge)
	} else {
		c.socket.MarkUnused(minUnusedAge)
	}
	s.conns[c] = false
	switch c.idleSince = c.acceptedAt; {
	case s.draining && note != "": // between two messages, as those that Drain closes
		c.shortenIdle(0)
	case s.draining: // accepted at the last moment: it may still bring one request
		c.acceptedLast = true
		c.shortenIdle(time.Until(s.drainStartedAt) + drainLinger)
	case s.handOver != nil:
		c.shortenIdle(0)
	default:
		c.socket.ExtendReadDeadline(c.acceptedAt.Add(idleCheckInterval))
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

// pauseAccepting notes that no connection comes in any more, and returns a channel that is closed by Resume; nil without HandOver.
func (s *Server) pauseAccepting() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handOver == nil {
		return nil
	}
	s.acceptPaused = true
	s.notifyIfAllHandedOver()
	return s.resumed
}
