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

// acceptLast accepts what waits in the listener's backlog and closes the listener, then the connections that are idle: a client whose
// connection is closed may connect again at once, and would be lost between the last look at the backlog and the close. If accepting
// fails or places are short, idle connections make room first.
func (s *Server) acceptLast(ctx context.Context, l net.Listener) {
	defer s.lockAndCloseIdle()
	defer l.Close()
	for !s.isDrainingFor(maxLastAccept) && ctx.Err() == nil {
		if s.acceptRest(l) {
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

// acceptRest accepts until the backlog is empty; false = it has to be tried again.
func (s *Server) acceptRest(l net.Listener) (empty bool) {
	for !s.isDrainingFor(maxLastAccept) {
		closed, err := sockopt.CloseIfBacklogEmpty(l)
		if closed {
			return true
		}
		if !s.budget.Reserve(connlimit.Inbound) {
			if (s.isDrainingFor(maxBacklogWait) || s.rejectsAtOnce()) && s.rejectConnection(l) {
				continue
			}
			return false
		}
		if d, ok := l.(deadlineListener); ok {
			_ = d.SetDeadline(time.Now().Add(lastAcceptTimeout)) // it fails on a closed listener, which accept reports
		}
		c, acceptErr := accept(l)
		if acceptErr != nil {
			s.budget.Release(connlimit.Inbound)
			// Where the backlog can't be looked at, a time-out is what says that it is empty.
			return errors.Is(acceptErr, net.ErrClosed) ||
				errors.Is(err, errors.ErrUnsupported) && errors.Is(acceptErr, os.ErrDeadlineExceeded)
		}
		s.admitNew(c)
	}
	return false
}

// deadlineListener is a listener whose Accept can time out.
type deadlineListener interface{ SetDeadline(time.Time) error }

// isDrainingFor reports whether draining started at least so long ago.
func (s *Server) isDrainingFor(duration time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !time.Now().Before(s.drainStartedAt.Add(duration))
}
