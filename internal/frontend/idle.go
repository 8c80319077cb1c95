package frontend

import (
	"errors"
	"os"
	"time"
)

// waitForMessage waits for the first byte of a message. Its deadline passes when the connection is to end while idle, or when it
// is time to see whether it is: what has come in just before that is still taken, and its answer is the last.
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
		if !c.socket.Quiet() {
			c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, err = c.reader.Peek(1)
		}
		return err
	}
}

// keepAlive reports whether the idle connection may stay until the next look. It may not for long once sockets are scarce: a
// consumer that has asked nothing for so long opens another just as well.
func (c *conn) keepAlive() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := time.Since(c.idleSince)
	stays := idle < maxIdle && (idle < idleCheckInterval || !s.budget.IsScarce())
	if !c.hasSentMessage { // it was woken before its time by a handover that came to nothing
		stays = idle < idleCheckInterval
		return stays && !s.draining && c.socket.ExtendReadDeadline(c.idleSince.Add(idleCheckInterval))
	}
	return !s.draining && (stays || s.keepIdle) && c.socket.ExtendReadDeadline(time.Now().Add(idleCheckInterval))
}

// shortenIdle ends the connection as soon as it is idle. Its reader does that, not the caller: a request that the reader has
// just got would be lost.
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

// setBusy notes whether a message is under way. One that is not ends when the front is being closed.
func (c *conn) setBusy(busy bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
	if busy {
		return
	}
	if c.idleSince = time.Now(); s.draining || s.handOver != nil {
		c.shortenIdle(0)
	} else {
		c.socket.ExtendReadDeadline(c.idleSince.Add(idleCheckInterval))
	}
}
