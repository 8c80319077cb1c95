package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Memory is a network within one process. Whoever waits in it is durably blocked in the sense of testing/synctest, so
// that time in a bubble can go on.
type Memory struct {
	mutex     sync.Mutex
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
func (m *Memory) SetDelay(same, spread time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.delay, m.spread = same, spread
}

// delayTo is the delay of the next connection to an address.
func (m *Memory) delayTo(address string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dials[address]++
	if m.spread <= 0 {
		return m.delay
	}
	h := fnv.New64a()
	fmt.Fprint(h, address, m.dials[address])
	return m.delay + time.Duration(h.Sum64()%uint64(m.spread))
}

// Listen makes address reachable.
func (m *Memory) Listen(address string) (Listener, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if address == "" {
		m.host++
		address = fmt.Sprintf("127.0.%d.%d", m.host/250, 1+m.host%250)
	}
	if !strings.Contains(address, ":") {
		m.port++
		address = fmt.Sprintf("%s:%d", address, 20000+m.port)
	}
	if m.listeners[address] != nil {
		return nil, opError("listen", address, os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	l := &memListener{network: m, addr: memAddr(address)}
	l.cond.L = &l.mutex
	m.listeners[address] = l
	return l, nil
}

// Dial connects to a listener.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	delay := m.delayTo(address)
	if err := Pause(ctx, 2*delay); err != nil {
		return nil, opError("dial", address, err)
	}
	for {
		m.mutex.Lock()
		l := m.listeners[address]
		m.port++
		from := memAddr(fmt.Sprintf("127.0.0.1:%d", 20000+m.port))
		m.mutex.Unlock()
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

func (a memAddr) String() string { return string(a) }

func opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: memAddr(address), Err: err}
}

type memListener struct {
	network *Memory
	addr    memAddr

	mutex  sync.Mutex
	cond   sync.Cond
	queue  []*memConn
	closed bool
	thawed chan struct{} // nil = not frozen
}

// connect queues a connection for Accept and returns the other end of it, or else what to wait for before trying again.
func (l *memListener) connect(from memAddr, delay time.Duration) (net.Conn, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.thawed != nil {
		return nil, l.thawed
	}
	k := &link{delay: delay}
	k.cond.L = &k.mutex
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
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
	l.network.mutex.Lock()
	if l.network.listeners[l.addr.String()] == l {
		delete(l.network.listeners, l.addr.String())
	}
	l.network.mutex.Unlock()
	_ = l.Freeze(false)
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
