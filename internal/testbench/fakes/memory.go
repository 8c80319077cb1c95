package fakes

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const maxBuffered = 256 << 10 // bytes that a direction of a Memory connection takes before its writer waits

// Memory is a network within one process. Whoever waits in it is durably blocked in the sense of testing/synctest, so
// that time in a bubble can go on.
type Memory struct {
	mu        sync.Mutex
	delay     time.Duration
	spread    time.Duration
	listeners map[string]*memListener
	dials     map[string]int // by address
	host      int
	port      int
}

// NewMemory returns an empty network with a delay of 0.1 to 0.2 ms.
func NewMemory() *Memory {
	return &Memory{
		listeners: map[string]*memListener{}, dials: map[string]int{},
		delay: 100 * time.Microsecond, spread: 100 * time.Microsecond,
	}
}

// SetDelay sets how long bytes, ends and resets take one way on connections opened from now on: a part that is the same
// everywhere, and one under spread that is each connection's own. A connection takes twice as long to come up. Without
// a spread, what leaves on several connections at one moment comes back at one moment, in an order left to chance.
func (n *Memory) SetDelay(same, spread time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.spread = same, spread
}

// delayTo is the delay of the next connection to an address.
func (n *Memory) delayTo(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials[address]++
	if n.spread <= 0 {
		return n.delay
	}
	h := fnv.New64a()
	fmt.Fprint(h, address, n.dials[address])
	return n.delay + time.Duration(h.Sum64()%uint64(n.spread))
}

// Listen makes address reachable.
func (n *Memory) Listen(address string) (Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.host++
		address = fmt.Sprintf("127.0.%d.%d", n.host/250, 1+n.host%250)
	}
	if !strings.Contains(address, ":") {
		n.port++
		address = fmt.Sprintf("%s:%d", address, 20000+n.port)
	}
	if n.listeners[address] != nil {
		return nil, opError("listen", address, os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	l := &memListener{network: n, addr: memAddr(address)}
	l.cond.L = &l.mu
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener.
func (n *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	delay := n.delayTo(address)
	if err := Pause(ctx, 2*delay); err != nil {
		return nil, opError("dial", address, err)
	}
	for {
		n.mu.Lock()
		l := n.listeners[address]
		n.port++
		from := memAddr(fmt.Sprintf("127.0.0.1:%d", 20000+n.port))
		n.mu.Unlock()
		if l == nil {
			return nil, opError("dial", address, os.NewSyscallError("connect", syscall.ECONNREFUSED))
		}
		c, thaw := l.connect(from, delay)
		if c != nil {
			return c, nil
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			return nil, opError("dial", address, ctx.Err())
		}
	}
}

// Pause waits for d or the end of ctx, whose error it returns.
func Pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

func opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: memAddr(address), Err: err}
}

type memListener struct {
	network *Memory
	addr    memAddr

	mu     sync.Mutex
	cond   sync.Cond
	queue  []*memConn
	closed bool
	thawed chan struct{} // nil = not frozen
}

// connect queues a connection for Accept and returns the other end of it, or else what to wait for before trying again.
func (l *memListener) connect(from memAddr, delay time.Duration) (net.Conn, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.thawed != nil {
		return nil, l.thawed
	}
	k := &link{delay: delay}
	k.cond.L = &k.mu
	a, b := &stream{}, &stream{}
	mine := &memConn{link: k, incoming: a, outgoing: b, local: from, remote: l.addr}
	theirs := &memConn{link: k, incoming: b, outgoing: a, local: l.addr, remote: from}
	if l.closed {
		theirs.Abort()
	} else {
		l.queue = append(l.queue, theirs)
		l.cond.Broadcast()
	}
	return mine, nil
}

func (l *memListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (len(l.queue) == 0 || l.thawed != nil) && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, opError("accept", l.addr.String(), net.ErrClosed)
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

func (l *memListener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr.String()] == l {
		delete(l.network.listeners, l.addr.String())
	}
	l.network.mu.Unlock()
	_ = l.Freeze(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return opError("close", l.addr.String(), net.ErrClosed)
	}
	l.closed = true
	for _, c := range l.queue {
		c.Abort()
	}
	l.cond.Broadcast()
	return nil
}

func (l *memListener) Addr() net.Addr { return l.addr }

func (l *memListener) Freeze(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.thawed == nil:
		l.thawed = make(chan struct{})
	case !on && l.thawed != nil:
		close(l.thawed)
		l.thawed = nil
		l.cond.Broadcast()
	}
	return nil
}

// link is what both ends of a connection share. Its mutex guards both directions and is never held by one who waits.
type link struct {
	mu    sync.Mutex
	cond  sync.Cond
	delay time.Duration
}

func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cond.Broadcast()
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
	at   time.Time
	data []byte
	end  error
}

func (s *stream) add(k *link, data []byte, end error) {
	at := time.Now().Add(k.delay)
	s.queue = append(s.queue, segment{at: at, data: data, end: end})
	s.size += len(data)
	k.wakeAt(at)
}

// wakeAt wakes all who wait, now and at t.
func (k *link) wakeAt(t time.Time) *time.Timer {
	k.cond.Broadcast()
	if d := time.Until(t); d > 0 {
		return time.AfterFunc(d, k.wake)
	}
	return nil
}

// deadline is one of a connection's two.
type deadline struct {
	at    time.Time
	alarm *time.Timer
}

func (d *deadline) set(k *link, t time.Time) {
	if d.alarm != nil {
		d.alarm.Stop()
		d.alarm = nil
	}
	d.at = t
	if k.cond.Broadcast(); !t.IsZero() {
		d.alarm = k.wakeAt(t)
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

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
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.readBy.passed():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(c.incoming.queue) > 0 && !c.incoming.queue[0].at.After(time.Now()):
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
	c.mu.Lock()
	defer c.mu.Unlock()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	now := time.Now()
	for _, s := range c.incoming.queue {
		if s.end == nil && s.at.After(now) {
			c.incoming.broken = true
		}
		reset = reset || s.end == nil && !s.at.After(now)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return c.opError("close", net.ErrClosed)
	case !c.outgoing.writeClosed:
		c.outgoing.add(c.link, nil, io.EOF)
		c.outgoing.writeClosed = true
	}
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return c.local }
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

func (c *memConn) SetDeadline(t time.Time) error { return c.setDeadlines(t, &c.readBy, &c.writeBy) }

func (c *memConn) SetReadDeadline(t time.Time) error { return c.setDeadlines(t, &c.readBy) }

func (c *memConn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(t, &c.writeBy) }

func (c *memConn) setDeadlines(t time.Time, ds ...*deadline) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	for _, d := range ds {
		d.set(c.link, t)
	}
	return nil
}
