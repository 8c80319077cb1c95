package frontend

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/faultinjection"
)

// Serve accepts connections until Drain or the end of ctx, and returns when the last one has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.closeAll(l) })()
	defer func() { _ = s.running.Wait() }() // the connections' goroutines return no errors
	defer l.Close()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	a := acceptor{server: s, listener: l, lastPlaceAt: time.Now()}
	for !s.isDraining() {
		var goOn bool
		if s.budget.Reserve(connlimit.Inbound) {
			goOn = a.accept(ctx)
		} else {
			goOn = a.waitForPlace(ctx)
		}
		if !goOn {
			return nil
		}
	}
	s.acceptLast(ctx, l)
	return nil
}

// acceptor is the state of the goroutine that accepts connections.
type acceptor struct {
	server      *Server
	listener    net.Listener
	failures    int       // of accept, in a row
	lastPlaceAt time.Time // when there was a place last
}

// waitForPlace waits until there may be a place again; false = accepting is over. The kernel's backlog holds the clients meanwhile,
// and those that wait there for long are rejected.
func (a *acceptor) waitForPlace(ctx context.Context) (goOn bool) {
	s := a.server
	if (time.Since(a.lastPlaceAt) > maxBacklogWait || s.rejectsAtOnce()) && s.rejectConnection(a.listener) {
		return true
	}
	select {
	case <-s.budget.Freed():
	case <-time.After(acceptRetryInterval): // some connection may have been idle for long enough now
	case <-ctx.Done():
		return false
	}
	return true
}

// accept accepts one connection in the place that has been reserved; false = accepting is over.
func (a *acceptor) accept(ctx context.Context) (goOn bool) {
	s := a.server
	c, err := accept(a.listener)
	a.lastPlaceAt = time.Now()
	if err == nil {
		if a.failures > 0 {
			log.Printf("listen=%s state=accepts_again failures=%d", a.listener.Addr(), a.failures)
			a.failures = 0
		}
		s.admitNew(c)
		return true
	}
	s.budget.Release(connlimit.Inbound)
	if resumed := s.pauseAccepting(); resumed != nil {
		select {
		case <-resumed:
			return true
		case <-s.drainStarted:
		case <-ctx.Done():
		}
		return false
	}
	switch {
	case errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && s.isDraining():
		return true
	}
	a.failures++
	if a.failures == 1 {
		log.Printf("listen=%s state=accept_failed err=%q", a.listener.Addr(), err)
	}
	select {
	case <-time.After(acceptRetryInterval):
	case <-ctx.Done():
	}
	return true
}

// admitNew serves a connection that has just been accepted. If it has waited for long in the backlog, so do others: for a while those
// that find no place are rejected at once.
func (s *Server) admitNew(nc net.Conn) {
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.admit(nc, "")
	if waited, known := c.socket.SinceLastReceive(); known && waited > maxBacklogWait {
		s.rejectUntil = time.Now().Add(rejectionPeriod)
	}
}

// admit serves a connection, with the note of the predecessor that had it before. It is called with mu held.
func (s *Server) admit(nc net.Conn, note string) *conn {
	c := &conn{
		server: s, socket: s.budget.Adopt(nc, connlimit.Inbound), acceptedAt: time.Now(), hasSentMessage: note != "",
		hasSentRequest: note == noteHasSentRequest,
	}
	if c.hasSentRequest {
		c.socket.MarkIdle(minIdleAge)
	} else {
		c.socket.MarkUnused(minUnusedAge)
	}
	s.conns[c] = false
	c.idleSince = c.acceptedAt
	switch {
	case s.draining && note != "": // it is between two messages, like those that Drain closes
		c.shortenIdle(0)
	case s.draining: // accepted at the last moment: it may still send one request
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

// accept is l.Accept, in which a soak may inject failures.
func accept(l net.Listener) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Accept()
}

// pauseAccepting notes during a handover that no connection is accepted any more, and returns the channel that Resume closes; nil = there
// is no handover.
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
