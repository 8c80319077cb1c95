package frontend

import (
	"errors"
	"os"
	"time"
)

// waitForMessage waits for the first byte of a message. The read deadline expires when the idle connection has to be closed
// or handed over, or when that has to be checked. A message that arrives just before the close is still served, as the last
// one.
func (c *conn) waitForMessage() error {
	for {
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.handOver() {
			return errHandedOver
		}
		if c.keepAlive() {
			continue
		}
		if !c.socket.HasNothingUnread() {
			c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, err = c.reader.Peek(1)
		}
		return err
	}
}

// keepAlive reports whether the idle connection may stay open until the next check. While sockets are scarce, it may stay for
// idleCheckInterval at most: a client that has sent no request for a while can open another connection.
func (c *conn) keepAlive() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := time.Since(c.idleSince)
	if !c.hasSentMessage { // a check before idleCheckInterval happens only after a failed handover
		return idle < idleCheckInterval && !s.draining && c.socket.ExtendReadDeadline(c.idleSince.Add(idleCheckInterval))
	}
	mayKeepOpen := idle < maxIdle && (idle < idleCheckInterval || !s.budget.IsOverHalfUsed())
	return !s.draining && (mayKeepOpen || s.keepIdle) && c.socket.ExtendReadDeadline(time.Now().Add(idleCheckInterval))
}

// shortenIdle sets the read deadline of the idle connection to the given time from now. The connection is then closed by its
// reader, not by the caller, so that a request that the reader has just received is not lost.
func (c *conn) shortenIdle(after time.Duration) { c.socket.SetReadDeadline(time.Now().Add(after)) }

// markIdle marks the connection as idle, so that it may be evicted.
func (c *conn) markIdle() {
	if c.hasSentRequest {
		c.socket.MarkIdle(minIdleAge)
	} else {
		c.socket.MarkUnused(minUnusedAge)
	}
	c.setBusy(false)
}

// setBusy records whether a message is in progress. An idle connection is closed while draining, and handed over during a
// handover.
func (c *conn) setBusy(busy bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
	if busy {
		return
	}
	c.idleSince = time.Now()
	if s.draining || s.handOver != nil {
		c.shortenIdle(0)
	} else {
		c.socket.ExtendReadDeadline(c.idleSince.Add(idleCheckInterval))
	}
}
