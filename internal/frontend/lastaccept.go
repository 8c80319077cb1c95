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
	defer s.closeIdle()
	defer l.Close()
	for !s.pastLast(acceptAgain) && ctx.Err() == nil {
		if s.acceptRest(l) {
			return
		}
		s.closeIdle()
		select {
		case <-s.budget.Freed():
		case <-time.After(lastLook):
		case <-ctx.Done():
		}
	}
}

// acceptRest accepts until nothing is left, and reports whether that was so; false = it is to be tried again.
func (s *Server) acceptRest(l net.Listener) (empty bool) {
	for !s.pastLast(acceptAgain) {
		closed, err := sockopt.CloseIfBacklogEmpty(l)
		if closed {
			return true
		}
		if !s.budget.Reserve(connlimit.Inward) {
			if (s.pastLast(crowdedAfter) || s.isCrowded()) && s.turnAway(l) {
				continue
			}
			return false
		}
		if d, ok := l.(deadliner); ok {
			d.SetDeadline(time.Now().Add(lastLook))
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

// deadliner is a listener that can be told until when it accepts.
type deadliner interface{ SetDeadline(time.Time) error }

// isLast reports whether what lies in the backlog by now is the last that is accepted.
func (s *Server) isLast() bool { return s.pastLast(0) }

// pastLast reports whether that has been so for a while.
func (s *Server) pastLast(while time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing && !time.Now().Before(s.closeAt.Add(while))
}
