// Package sockets keeps the connections of all kinds together under one limit. Idle ones make room for new
// ones, the least recently used first.
package sockets

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const mostLeaving = 16 // the descriptors that those being closed may hold beyond the limit

// ErrNone says that the limit leaves no socket, and that no idle one can make room.
var ErrNone = errors.New("no socket left under the limit")

// Dialer opens a connection to host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// TCP dials plainly. It sends no keep-alive: a silent machine is noticed by what it does not answer.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// Budget is the limit and what is held under it. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	most    int
	used    int
	leaving int       // whose place has been given away and which are not closed yet
	idle    list.List // of *Socket, least recently used first
	freed   chan struct{}
	dial    Dialer
}

// NewBudget allows for most sockets; dial opens those that this side opens.
func NewBudget(most int, dial Dialer) *Budget {
	return &Budget{most: most, dial: dial, freed: make(chan struct{}, 1)}
}

// Dial opens a connection under the limit, or fails with ErrNone.
func (b *Budget) Dial(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	if !b.Reserve() {
		return nil, ErrNone
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := b.dial(ctx, address)
	if err != nil {
		b.Release()
		return nil, err
	}
	return b.Adopt(c), nil
}

// Reserve takes one place under the limit, that of the idle socket least recently used if need be. The place
// goes to a Socket by Adopt, or back by Release.
func (b *Budget) Reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used >= b.most {
		oldest := b.idle.Front()
		for now := time.Now(); oldest != nil && now.Before(oldest.Value.(*Socket).spare); {
			oldest = oldest.Next()
		}
		if oldest == nil || b.leaving >= mostLeaving {
			return false
		}
		oldest.Value.(*Socket).leave()
	}
	b.used++
	return true
}

// leave gives the socket's place away and wakes its reader, which closes it. Only the reader can tell whether a
// request has come in meanwhile: closed from here, the connection would take that along, and it would be lost.
func (s *Socket) leave() {
	s.unmark()
	s.leaving = true
	s.budget.used--
	s.budget.leaving++
	s.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Leaving reports whether the socket's place has been given away.
func (s *Socket) Leaving() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.leaving
}

// Quiet reports whether nothing that has come in is still unread, the other side's close included.
func (s *Socket) Quiet() bool {
	sys, ok := s.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		waiting, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || waiting < 0
}

// Release gives back a place that was not adopted.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *Budget) release() {
	b.used--
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
func (b *Budget) Adopt(c net.Conn) *Socket { return &Socket{Conn: c, budget: b} }

// Socket is a connection that counts under the limit until it is closed.
type Socket struct {
	net.Conn
	budget *Budget
	idle   *list.Element
	spare  time.Time // not before

	leaving, closed bool
}

// Idle marks the socket as one that may be closed to make room once it has been idle for so long.
func (s *Socket) Idle(after time.Duration) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.idle == nil && !s.closed && !s.leaving {
		s.idle, s.spare = b.idle.PushBack(s), time.Now().Add(after)
		b.tell()
	}
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
		s.budget.idle.Remove(s.idle)
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
		s.budget.release()
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
