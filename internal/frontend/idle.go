package frontend

import (
	"errors"
	"os"
	"time"
)

// waitForMessage waits for the first byte of a message. The read deadline passes when the idle connection has to end, or when it is
// time for a look whether it has to. A message that has come in just before that is still served, as the last one.
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

// keepAlive reports whether the idle connection may stay until the next look. Once sockets are scarce it may not for long: a client
// that has sent no request for a while can open another connection.
func (c *conn) keepAlive() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := time.Since(c.idleSince)
	if !c.hasSentMessage { // it is here before its time only if a handover has failed
		return idle < idleCheckInterval && !s.draining && c.socket.ExtendReadDeadline(c.idleSince.Add(idleCheckInterval))
	}
	mayStay := idle < maxIdle && (idle < idleCheckInterval || !s.budget.IsOverHalfUsed())
	return !s.draining && (mayStay || s.keepIdle) && c.socket.ExtendReadDeadline(time.Now().Add(idleCheckInterval))
}

// shortenIdle ends the connection once it has been idle for so long from now. Its reader closes it, not the caller: a request that
// the reader has just got would be lost.
func (c *conn) shortenIdle(after time.Duration) { c.socket.SetReadDeadline(time.Now().Add(after)) }

// markIdle marks the connection as one between two messages.
func (c *conn) markIdle() {
	if c.hasSentRequest {
		c.socket.MarkIdle(minIdleAge)
	} else {
		c.socket.MarkUnused(minUnusedAge)
	}
	c.setBusy(false)
}

// setBusy notes whether a message is under way. A connection without one ends while draining or handing over.
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
