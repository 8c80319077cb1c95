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

// maxBuffered is the limit on bytes in transit or unread in one direction of a connection, at which writes block.
const maxBuffered = 256 << 10

// link is the state shared by both ends of a connection. Its mutex guards both directions and is not held while waiting.
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

// wakeAt wakes all waiting goroutines now and at t.
func (l *link) wakeAt(t time.Time) *time.Timer {
	l.cond.Broadcast()
	if d := time.Until(t); d > 0 {
		return time.AfterFunc(d, l.wake)
	}
	return nil
}

// stream is one direction of a connection.
type stream struct {
	queue        []segment // in transit or unread, in order
	size         int       // total bytes in the queue
	writeClosed  bool      // the writer has closed its side
	readerClosed bool      // the reader has closed its side: the next write triggers a reset
	broken       bool      // a write after readerClosed has triggered the reset: further writes fail
	resetAt      time.Time // when the reader's reset reaches the writer; zero = there was none
}

// segment is data, or the end of the stream, with its time of arrival.
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

// deadline is the read or the write deadline of a connection.
type deadline struct {
	time  time.Time
	timer *time.Timer
}

func (d *deadline) set(k *link, t time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.time = t
	if k.cond.Broadcast(); !t.IsZero() {
		d.timer = k.wakeAt(t)
	}
}

func (d *deadline) passed() bool { return !d.time.IsZero() && !time.Now().Before(d.time) }

// memConn is one end of a connection.
type memConn struct {
	*link
	incoming, outgoing *stream
	local, remote      memAddr
	readDeadline       deadline
	writeDeadline      deadline
	closed             bool
}

func (c *memConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Read returns data that has arrived. As with TCP, data that arrived before a reset can still be read.
func (c *memConn) Read(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.readDeadline.passed():
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

// Write queues as much as maxBuffered allows, and blocks until the rest is queued, too.
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
		case c.writeDeadline.passed():
			return n, c.opError("write", os.ErrDeadlineExceeded)
		case s.readerClosed: // the write succeeds, as with a kernel, and triggers a reset unless one is in transit
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

// Close closes both directions: gracefully, or with a reset if there is unread data. If data is still in transit to this
// end, later writes of the other end fail.
func (c *memConn) Close() error { return c.closeBoth(false) }

// Abort closes the connection with a reset.
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
	c.readDeadline.set(c.link, time.Time{})
	c.writeDeadline.set(c.link, time.Time{})
	return nil
}

// CloseWrite closes the sending direction.
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

func (c *memConn) SetDeadline(t time.Time) error {
	return c.setDeadlines(t, &c.readDeadline, &c.writeDeadline)
}

func (c *memConn) SetReadDeadline(t time.Time) error { return c.setDeadlines(t, &c.readDeadline) }

func (c *memConn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(t, &c.writeDeadline) }

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
