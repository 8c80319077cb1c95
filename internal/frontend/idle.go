package frontend

import (
	"errors"
	"os"
	"time"
)

// next waits for the first byte of a message. Its deadline passes when the connection is to end while idle, or when it
// is time to see whether it is: what has come in just before that is still taken, and its answer is the last.
func (c *conn) next() error {
	for {
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.handOver() {
			return errHandedOver
		}
		if c.stays() {
			continue
		}
		if !c.socket.Quiet() {
			c.socket.SetReadDeadline(time.Now().Add(lingerFor))
			_, err = c.br.Peek(1)
		}
		return err
	}
}

// stays reports whether the idle connection may stay until the next look. It may not for long once sockets are scarce: a
// consumer that has asked nothing for so long opens another just as well.
func (c *conn) stays() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := time.Since(c.idleAt)
	stays := idle < idleMost && (idle < lookEvery || !s.budget.IsScarce())
	if !c.brought { // it was woken before its time by a handover that came to nothing
		stays = idle < lookEvery
		return stays && !s.closing && c.socket.ExtendReadDeadline(c.idleAt.Add(lookEvery))
	}
	return !s.closing && (stays || s.staying) && c.socket.ExtendReadDeadline(time.Now().Add(lookEvery))
}

// wind ends the connection as soon as it is idle. Its reader does that, not the caller: a request that the reader has
// just got would be lost.
func (c *conn) wind(after time.Duration) { c.socket.SetReadDeadline(time.Now().Add(after)) }

// rest marks the connection as one between two messages.
func (c *conn) rest() {
	if c.known {
		c.socket.MarkIdle(spareAfter)
	} else {
		c.socket.MarkUnused(strangerAfter)
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
	if c.idleAt = time.Now(); s.closing || s.pass != nil {
		c.wind(0)
	} else {
		c.socket.ExtendReadDeadline(c.idleAt.Add(lookEvery))
	}
}
