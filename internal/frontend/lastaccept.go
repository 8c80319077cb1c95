package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/sockopt"
	"time"
)

// acceptLast takes in what lies in the listener's backlog and closes it, then the connections that are idle: a client whose connection
// is closed may knock at once, and would be lost between the last look at the backlog and the close. Where accepts fail or places are
// short, idle connections make room first.
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

// acceptRest accepts until nothing is left, and reports whether that was so; false = it is to be tried again.
func (s *Server) acceptRest(l net.Listener) (empty bool) {
	for !s.isDrainingFor(maxLastAccept) {
		closed, err := sockopt.CloseIfBacklogEmpty(l)
		if closed {
			return true
		}
		if !s.budget.Reserve(connlimit.Inward) {
			if (s.isDrainingFor(maxBacklogWait) || s.rejectsAtOnce()) && s.rejectConnection(l) {
				continue
			}
			return false
		}
		if d, ok := l.(deadlineListener); ok {
			d.SetDeadline(time.Now().Add(lastAcceptTimeout))
		}
		nc, failed := accept(l)
		if failed != nil {
			s.budget.Release(connlimit.Inward)
			return errors.Is(failed, net.ErrClosed) || errors.Is(err, errors.ErrUnsupported) && errors.Is(failed, os.ErrDeadlineExceeded)
		}
		s.admitNew(nc)
	}
	return false
}

// deadlineListener is a listener that can be told until when it accepts.
type deadlineListener interface{ SetDeadline(time.Time) error }

// isDraining reports whether what lies in the backlog by now is the last that is accepted.
func (s *Server) isDraining() bool { return s.isDrainingFor(0) }

// isDrainingFor reports whether that has been so for a while.
func (s *Server) isDrainingFor(while time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !time.Now().Before(s.drainStartedAt.Add(while))
}
