package fakes

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is how many bytes one direction of a connection takes before its writer waits.
const maxBuffered = 256 << 10

// link is what both ends of a connection share. Its mutex guards both directions and is never held by one who waits.
type link struct {
	mutex sync.Mutex
	cond  sync.Cond
	delay time.Duration
}

func (l *link) wake() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cond.Broadcast()
}

// wakeAt wakes all who wait, now and at t.
func (l *link) wakeAt(t time.Time) *time.Timer {
	l.cond.Broadcast()
	if d := time.Until(t); d > 0 {
		return time.AfterFunc(d, l.wake)
	}
	return nil
}

// stream is one direction.
type stream struct {
	queue        []segment // under way or unread, in order
	size         int       // of all bytes in it
	writeClosed  bool      // its writer sends no more
	readerClosed bool      // its reader is closed: what is still written is answered with a reset
	broken       bool      // and that has been: writes fail
	resetAt      time.Time // when the writer learns that its reader has aborted; zero = it has not
}

// segment is bytes, or the end, that arrive at a time.
type segment struct {
	arrivesAt time.Time
	data      []byte
	end       error
}

func (s *stream) add(k *link, data []byte, end error) {
	at := time.Now().Add(k.delay)
	s.queue = append(s.queue, segment{arrivesAt: at, data: data, end: end})
	s.size += len(data)
	k.wakeAt(at)
}

// deadline is one of a connection's two.
type deadline struct {
	time  time.Time
	alarm *time.Timer
}

func (d *deadline) set(k *link, t time.Time) {
	if d.alarm != nil {
		d.alarm.Stop()
		d.alarm = nil
	}
	d.time = t
	if k.cond.Broadcast(); !t.IsZero() {
		d.alarm = k.wakeAt(t)
	}
}

func (d *deadline) passed() bool { return !d.time.IsZero() && !time.Now().Before(d.time) }

// memConn is one end.
type memConn struct {
	*link
	incoming, outgoing *stream
	local, remote      memAddr
	readBy             deadline
	writeBy            deadline
	closed             bool
}

func (c *memConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Read returns what has arrived. Bytes that came before a reset are still read, as on TCP.
func (c *memConn) Read(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.readBy.passed():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(c.incoming.queue) > 0 && !c.incoming.queue[0].arrivesAt.After(time.Now()):
			return c.readArrived(b)
		}
		c.cond.Wait()
	}
}

func (c *memConn) readArrived(b []byte) (int, error) {
	s := c.incoming
	first := &s.queue[0]
	switch {
	case errors.Is(first.end, io.EOF):
		return 0, io.EOF
	case first.end != nil:
		return 0, c.opError("read", first.end)
	}
	n := copy(b, first.data)
	s.size -= n
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.queue = s.queue[1:]
	}
	c.cond.Broadcast()
	return n, nil
}

// Write takes what the window has room for and waits with the rest.
func (c *memConn) Write(b []byte) (n int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.outgoing
	for {
		switch {
		case c.closed:
			return n, c.opError("write", net.ErrClosed)
		case !s.resetAt.IsZero() && !s.resetAt.After(time.Now()):
			return n, c.opError("write", os.NewSyscallError("write", syscall.ECONNRESET))
		case s.writeClosed, s.broken:
			return n, c.opError("write", os.NewSyscallError("write", syscall.EPIPE))
		case c.writeBy.passed():
			return n, c.opError("write", os.ErrDeadlineExceeded)
		case s.readerClosed: // the kernel takes it, and the answer is a reset, if none is under way
			s.broken = s.resetAt.IsZero()
			return len(b), nil
		}
		part := b[n:min(len(b), n+max(0, maxBuffered-s.size))]
		if len(part) > 0 {
			s.add(c.link, append([]byte(nil), part...), nil)
			n += len(part)
		}
		if n == len(b) {
			return n, nil
		}
		c.cond.Wait()
	}
}

// Close ends both directions in order; but with bytes unread, or still coming, the other side's writes are reset.
func (c *memConn) Close() error { return c.closeBoth(false) }

// Abort resets the connection.
func (c *memConn) Abort() { _ = c.closeBoth(true) }

func (c *memConn) closeBoth(reset bool) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	now := time.Now()
	for _, s := range c.incoming.queue {
		if s.end == nil && s.arrivesAt.After(now) {
			c.incoming.broken = true
		}
		reset = reset || s.end == nil && !s.arrivesAt.After(now)
	}
	c.incoming.queue, c.incoming.size, c.incoming.readerClosed = nil, 0, true
	switch {
	case reset:
		c.incoming.resetAt = now.Add(c.delay)
		c.outgoing.add(c.link, nil, os.NewSyscallError("read", syscall.ECONNRESET))
	case !c.outgoing.writeClosed:
		c.outgoing.add(c.link, nil, io.EOF)
	}
	c.outgoing.writeClosed = true
	c.readBy.set(c.link, time.Time{})
	c.writeBy.set(c.link, time.Time{})
	return nil
}

// CloseWrite ends this side's sending.
func (c *memConn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.closed:
		return c.opError("close", net.ErrClosed)
	case !c.outgoing.writeClosed:
		c.outgoing.add(c.link, nil, io.EOF)
		c.outgoing.writeClosed = true
	}
	return nil
}

func (c *memConn) LocalAddr() net.Addr { return c.local }

func (c *memConn) RemoteAddr() net.Addr { return c.remote }

func (c *memConn) SetDeadline(t time.Time) error { return c.setDeadlines(t, &c.readBy, &c.writeBy) }

func (c *memConn) SetReadDeadline(t time.Time) error { return c.setDeadlines(t, &c.readBy) }

func (c *memConn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(t, &c.writeBy) }

func (c *memConn) setDeadlines(t time.Time, ds ...*deadline) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	for _, d := range ds {
		d.set(c.link, t)
	}
	return nil
}
