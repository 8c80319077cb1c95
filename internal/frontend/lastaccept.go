package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/sockopt"
)

// acceptBacklog accepts the connections in the listener's backlog, closes the listener, and then closes the idle connections.
// In the other order a client whose connection was closed could reconnect immediately, and be reset if it came between the
// last check of the backlog and the close of the listener. If accepting fails or there are too few slots, idle connections
// are closed earlier to free some.
func (s *Server) acceptBacklog(ctx context.Context, l net.Listener) {
	defer s.lockAndCloseIdle()
	defer l.Close()
	for !s.isDrainingFor(maxBacklogAccept) && ctx.Err() == nil {
		if s.acceptUntilBacklogEmpty(l) {
			return
		}
		s.lockAndCloseIdle()
		select {
		case <-s.budget.Freed():
		case <-time.After(lastAcceptTimeout):
		case <-ctx.Done():
		}
	}
}

// acceptUntilBacklogEmpty accepts connections until the backlog is empty; false = it has to be called again.
func (s *Server) acceptUntilBacklogEmpty(l net.Listener) (empty bool) {
	for !s.isDrainingFor(maxBacklogAccept) {
		closed, err := sockopt.CloseIfBacklogEmpty(l)
		if closed {
			return true
		}
		if !s.budget.Reserve(connlimit.Inbound) {
			if (s.isDrainingFor(maxBacklogWait) || s.rejectsImmediately()) && s.rejectConnection(l) {
				continue
			}
			return false
		}
		if d, ok := l.(deadlineListener); ok {
			_ = d.SetDeadline(time.Now().Add(lastAcceptTimeout)) // fails if the listener is closed, which accept reports below
		}
		c, acceptErr := accept(l)
		if acceptErr != nil {
			s.budget.Release(connlimit.Inbound)
			// Where the platform does not report the backlog's length, a timeout means that it is empty.
			return errors.Is(acceptErr, net.ErrClosed) ||
				errors.Is(err, errors.ErrUnsupported) && errors.Is(acceptErr, os.ErrDeadlineExceeded)
		}
		s.admitNew(c)
	}
	return false
}

// deadlineListener is a listener whose Accept can time out.
type deadlineListener interface{ SetDeadline(time.Time) error }

// isDrainingFor reports whether draining started at least duration ago.
func (s *Server) isDrainingFor(duration time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !time.Now().Before(s.drainStartedAt.Add(duration))
}
