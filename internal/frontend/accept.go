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

// Serve accepts connections until Drain is called or ctx ends, and returns when the last connection has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.closeAll(l) })()
	defer func() { _ = s.running.Wait() }() // the connections' goroutines return no errors
	defer l.Close()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	a := acceptor{server: s, listener: l, lastSlotAt: time.Now()}
	for !s.isDraining() {
		var proceed bool
		if s.budget.Reserve(connlimit.Inbound) {
			proceed = a.accept(ctx)
		} else {
			proceed = a.waitForSlot(ctx)
		}
		if !proceed {
			return nil
		}
	}
	s.acceptBacklog(ctx, l)
	return nil
}

// acceptor is the state of the goroutine that accepts connections.
type acceptor struct {
	server     *Server
	listener   net.Listener
	failures   int       // consecutive failures of accept
	lastSlotAt time.Time // when a slot was last available
}

// waitForSlot waits until a slot for a connection may be available; false = stop accepting. Meanwhile clients wait in the
// kernel's backlog, and those that have waited there for too long are rejected.
func (a *acceptor) waitForSlot(ctx context.Context) (proceed bool) {
	s := a.server
	if (time.Since(a.lastSlotAt) > maxBacklogWait || s.rejectsImmediately()) && s.rejectConnection(a.listener) {
		return true
	}
	select {
	case <-s.budget.Freed():
	case <-time.After(acceptRetryInterval): // a connection may have become old enough to be evicted
	case <-ctx.Done():
		return false
	}
	return true
}

// accept accepts one connection for the slot that has been reserved; false = stop accepting.
func (a *acceptor) accept(ctx context.Context) (proceed bool) {
	s := a.server
	c, err := accept(a.listener)
	a.lastSlotAt = time.Now()
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

// admitNew serves a connection that has just been accepted. If it has waited in the backlog for too long, so have others: for a
// rejectionPeriod connections beyond the limit are rejected immediately.
func (s *Server) admitNew(nc net.Conn) {
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.admit(nc, "")
	if waited, known := c.socket.SinceLastReceive(); known && waited > maxBacklogWait {
		s.rejectUntil = time.Now().Add(rejectionPeriod)
	}
}

// admit serves a connection; note comes from the predecessor that transferred it, and is empty for a new one. It is called
// with mu held.
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
	case s.draining && note != "": // transferred while idle: closed like the idle connections of this process
		c.shortenIdle(0)
	case s.draining: // accepted from the backlog: it may still send one request
		c.awaitsFirstRequest = true
		c.shortenIdle(time.Until(s.drainStartedAt) + drainLinger)
	case s.handOver != nil:
		c.shortenIdle(0)
	default:
		c.socket.ExtendReadDeadline(c.acceptedAt.Add(idleCheckInterval))
	}
	s.running.Go(func() error { c.run(); return nil })
	return c
}

// accept calls l.Accept; fault injection may make it fail.
func accept(l net.Listener) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Accept()
}

// pauseAccepting records that accepting has stopped for a handover, and returns the channel that Resume closes; nil = there
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
