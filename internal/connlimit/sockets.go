// Package connlimit keeps the connections of all kinds together under one limit. Idle ones make room for new
// ones, the least recently used first.
package connlimit

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/transient"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	mostClosing  = 16               // the descriptors that those being closed may hold beyond the limit, at most,
	closingPart  = 4                // or one in so many of the limit, where that is less
	inwardPart   = 2                // connections from consumers may hold one in so many of the sockets,
	easyPart     = 4                // one in so many while some of them are idle,
	strangerPart = 4                // and strangers among them one in so many
	hurriedAfter = time.Millisecond // for what a stranger has sent to be read, once strangers hurry
	briefPart    = 2                // of those beyond the limit, one in so many may be held by connections that find no place
	callPart     = 8                // one in so many is left to calls: neither consumers nor probes take it while it is free
)

// Closing is how many connections may be open beyond a limit of most sockets, while those that have made room are being closed.
func Closing(most int) int { return min(mostClosing, max(1, most/closingPart)) }

// Within is the limit under which so many descriptors suffice, with those that are being closed; 0 = there is none.
func Within(descriptors int) (most int) {
	for most+1+Closing(most+1) <= descriptors {
		most++
	}
	return most
}

// Side says who opened a connection.
type Side bool

// The sides. Inward connections leave room for the outward ones, without which nothing could be done for them.
const (
	Outward Side = false
	Inward  Side = true
)

// ErrNone says that the limit leaves no socket, and that no idle one can make room.
var ErrNone = errors.New("no socket left under the limit")

// Dialer opens a connection to host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// TCP dials plainly. It sends no keep-alive: a silent machine is noticed by what it does not answer.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := faultinjection.Wait(ctx, faultinjection.SlowConnect); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Budget is the limit and what is held under it. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	most    int
	used    int
	inward  int // of those used
	leaving int // whose place has been given away and which are not closed yet
	hurried bool
	// What can make room, as lists of *Socket, in the order in which they do: strangers, which have brought nothing
	// yet, and idle ones. In each the least recently used is first.
	strangers, idle list.List
	freed           chan struct{}
	dial            Dialer
}

// NewBudget allows for most sockets; dial opens those that this side opens.
func NewBudget(most int, dial Dialer) *Budget {
	return &Budget{most: most, dial: dial, freed: make(chan struct{}, 1)}
}

// Limit allows for most sockets from now on. Where more are in use, idle ones to providers are closed at once, and none
// is opened until enough have ended; consumers keep theirs.
func (b *Budget) Limit(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	for e := b.idle.Front(); e != nil && b.used > most; {
		s := e.Value.(*Socket)
		if e = e.Next(); s.side == Outward {
			s.close()
		}
	}
	b.tell()
}

// Hurry has strangers make room as soon as another one wants it, and lets them have all places of their side: what waits to be let in
// is about to be lost.
func (b *Budget) Hurry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hurried = true
	now := time.Now()
	for e := b.strangers.Front(); e != nil; e = e.Next() {
		e.Value.(*Socket).spare = now
	}
	b.tell()
}

// Dial opens a connection under the limit, or fails with ErrNone.
func (b *Budget) Dial(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	return b.open(ctx, address, within, b.Reserve(Outward))
}

// DialSpare is Dial for what can be done without: it leaves the last places to others.
func (b *Budget) DialSpare(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	b.mu.Lock()
	ok := b.used < b.common() || b.takeFrom(&b.strangers, Outward) || b.takeFrom(&b.idle, Outward)
	if ok {
		b.count(Outward, 1)
	}
	b.mu.Unlock()
	return b.open(ctx, address, within, ok)
}

// common is what is used of the limit before some is left to calls alone.
func (b *Budget) common() int { return b.most - b.most/callPart }

// open opens a connection in a place that has been reserved.
func (b *Budget) open(ctx context.Context, address string, within time.Duration, reserved bool) (*Socket, error) {
	if !reserved {
		return nil, ErrNone
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := b.dial(ctx, address)
	if err != nil {
		b.Release(Outward)
		return nil, err
	}
	return b.Adopt(c, Outward), nil
}

// Reserve takes one place under the limit, if need be that of a stranger or of the idle socket least recently used. The
// place goes to a Socket by Adopt, or back by Release. Inward connections beyond their part make room for one another
// alone, and strangers beyond theirs: hundreds that say nothing must not keep out those that have something to say. Up to
// their part they take the places of idle ones to providers, too: a consumer that waits in the kernel's backlog has a request.
func (b *Budget) Reserve(side Side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := true
	switch {
	case side == Inward && !b.hurried && b.strangers.Len() >= max(1, b.most/strangerPart):
		ok = b.takeFrom(&b.strangers, side)
	case side == Inward && b.inward >= b.most/inwardPart:
		ok = b.takeFrom(&b.strangers, Inward) || b.takeFrom(&b.idle, Inward)
	case b.used >= b.most || side == Inward && b.used >= b.common():
		ok = b.takeFrom(&b.strangers, Outward) || b.takeFrom(&b.idle, Outward)
	case side == Inward && b.inward >= b.most/easyPart:
		// Consumers have limits too: one whose sockets all hang on to connections that it asked once can't open another
		// and so can't make the room that it waits for.
		_ = b.takeFrom(&b.strangers, side) || b.takeFrom(&b.idle, side)
	}
	if ok {
		b.count(side, 1)
	}
	return ok
}

// ReserveBrief takes one of the places of connections that are about to be closed, beyond the limit: for an inward connection that is only told
// that there is no place. It goes to a Socket by AdoptBrief, or back by ReleaseBrief. Half of those places stay for connections that make
// room, unless strangers hurry.
func (b *Budget) ReserveBrief() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := Closing(b.most)
	if !b.hurried {
		most = max(1, most/briefPart)
	}
	if b.leaving >= most {
		return false
	}
	b.leaving++
	return true
}

// ReleaseBrief gives back a place that was not adopted.
func (b *Budget) ReleaseBrief() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving--
	b.tell()
}

// takeFrom frees the place of the first in the list that may be closed: for Inward one from a consumer, for Outward any.
func (b *Budget) takeFrom(l *list.List, side Side) bool {
	now := time.Now()
	for e := l.Front(); e != nil && b.leaving < Closing(b.most); e = e.Next() {
		if s := e.Value.(*Socket); !now.Before(s.spare) && (side == Outward || s.side == Inward) {
			s.leave()
			return true
		}
	}
	return false
}

func (b *Budget) count(side Side, n int) {
	b.used += n
	if side == Inward {
		b.inward += n
	}
}

// Scarce reports whether more than half of the places are taken.
func (b *Budget) Scarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.used > b.most
}

// leave gives the socket's place away and wakes its reader, which closes it. Only the reader can tell whether a
// request has come in meanwhile: closed from here, the connection would take that along, and it would be lost.
func (s *Socket) leave() {
	s.unmark()
	s.leaving = true
	s.budget.count(s.side, -1)
	s.budget.leaving++
	s.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Extend sets the read deadline, unless the socket is to make room: then it reports false, and its reader is to end.
func (s *Socket) Extend(t time.Time) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return !s.leaving && s.Conn.SetReadDeadline(t) == nil
}

// Leaving reports whether the socket's place has been given away.
func (s *Socket) Leaving() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.leaving
}

// The system calls that look at a socket; a test puts others in their place.
var (
	peek = func(fd int, b []byte) (n int, err error) {
		if err := faultinjection.Inject(faultinjection.Peek); err != nil {
			return -1, err
		}
		n, _, err = syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	}
	poll = func(fds []unix.PollFd, timeout int) (n int, err error) {
		if err := faultinjection.Inject(faultinjection.Poll); err != nil {
			return -1, err
		}
		return unix.Poll(fds, timeout)
	}
)

// Quiet reports whether nothing that has come in is still unread, the other side's close or reset included.
func (s *Socket) Quiet() bool {
	var err error
	known := s.control(func(fd int) {
		var b [1]byte
		_, err = transient.Interrupted(func() (int, error) { return peek(fd, b[:]) })
	})
	return !known || err == syscall.EAGAIN
}

// Left reports whether the other side has ended its sending or broken the connection, also where what it sent before that is
// still unread.
func (s *Socket) Left() (left bool) {
	s.control(func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := transient.Interrupted(func() (int, error) { return poll(p, 0) })
		left = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}

// Waiting reports whether something lies in the listener's backlog. errors.ErrUnsupported says that it is no socket of the kernel's.
func Waiting(l net.Listener) (waiting bool, err error) {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, err
	}
	n := 0
	e := raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err = transient.Interrupted(func() (int, error) { return poll(p, 0) })
	})
	return n > 0, errors.Join(e, err)
}

// CloseEmpty closes the listener if nothing lies in its backlog, and reports whether it has. Between the look and the close nothing else is
// done: what knocks there is lost.
func CloseEmpty(l net.Listener) (closed bool, err error) {
	if waiting, err := Waiting(l); waiting || err != nil {
		return false, err
	}
	return true, l.Close()
}

// SinceArrival is how long ago the last bytes came in, read or not. Where the kernel does not tell, and the process may have been held up before
// it read them, it is not known.
func (s *Socket) SinceArrival() (since time.Duration, known bool) {
	known = true // of a connection within the process, by which bytes come at once
	s.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if known = err == nil && info.State != 0; known { // no state of a connection: nothing was told
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since, known
}

// control calls f with the descriptor, and reports whether there is one.
func (s *Socket) control(f func(fd int)) bool {
	sys, ok := s.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// Force takes one place whether or not the limit leaves it, for a connection that is there already.
func (b *Budget) Force(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(side, 1)
}

// Release gives back a place that was not adopted.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(side)
}

func (b *Budget) release(side Side) {
	b.count(side, -1)
	b.tell()
}

func (b *Budget) tell() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// Freed tells one waiter that a place has been given back or a socket has become idle.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

// Used is the number of places taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Adopt binds a reserved place to a connection.
func (b *Budget) Adopt(c net.Conn, side Side) *Socket { return &Socket{Conn: c, budget: b, side: side} }

// AdoptBrief binds a place of ReserveBrief to a connection, which is Leaving from the start.
func (b *Budget) AdoptBrief(c net.Conn) *Socket {
	return &Socket{Conn: c, budget: b, side: Inward, leaving: true}
}

// Socket is a connection that counts under the limit until it is closed.
type Socket struct {
	net.Conn
	budget *Budget
	side   Side
	in     *list.List // of those that can make room
	idle   *list.Element
	spare  time.Time // not before

	leaving, closed bool
}

// Idle marks the socket as one that may be closed to make room once it has been idle for so long.
func (s *Socket) Idle(after time.Duration) { s.mark(&s.budget.idle, after) }

// Stranger is Idle for a connection that has brought nothing yet: it makes room before any other.
func (s *Socket) Stranger(after time.Duration) { s.mark(&s.budget.strangers, after) }

func (s *Socket) mark(in *list.List, after time.Duration) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed || s.leaving {
		return
	}
	s.unmark()
	if b.hurried && in == &b.strangers {
		after = min(after, hurriedAfter)
	}
	s.in, s.idle, s.spare = in, in.PushBack(s), time.Now().Add(after)
	b.tell()
}

// Busy takes the mark back. False means that the socket has been closed meanwhile.
func (s *Socket) Busy() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.unmark()
	return !s.closed
}

func (s *Socket) unmark() {
	if s.idle != nil {
		s.in.Remove(s.idle)
		s.idle = nil
	}
}

// Close closes the connection and gives its place back; further calls do nothing.
func (s *Socket) Close() error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.close()
}

func (s *Socket) close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.unmark()
	err := s.Conn.Close()
	if s.leaving {
		s.budget.leaving--
		s.budget.tell()
	} else {
		s.budget.release(s.side)
	}
	return err
}

// CloseWrite tells the other side that nothing more comes, where the connection has a way to say so.
func (s *Socket) CloseWrite() error {
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
