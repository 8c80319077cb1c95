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

// Memory is an in-process network. A goroutine that waits in it is durably blocked in the sense of testing/synctest, so
// that time in a bubble can advance.
type Memory struct {
	mutex     sync.Mutex
	delay     time.Duration
	spread    time.Duration
	listeners map[string]*memListener
	dials     map[string]int // number of dials, by address
	lastHost  int
	lastPort  int
}

// NewMemory returns an empty network with a delay of 0.1 to 0.2 ms.
func NewMemory() *Memory {
	return &Memory{
		listeners: map[string]*memListener{}, dials: map[string]int{},
		delay: 100 * time.Microsecond, spread: 100 * time.Microsecond,
	}
}

// SetDelay sets the one-way delay of data, closes and resets on connections opened from now on. The delay is same plus a value
// below spread that differs by connection. Establishing a connection takes twice the delay. With a spread of 0,
// data sent on several connections at one instant arrives at one instant, in random order.
func (m *Memory) SetDelay(same, spread time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.delay, m.spread = same, spread
}

// delayTo returns the delay of the next connection to an address.
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

// Listen implements Network.
func (m *Memory) Listen(address string) (Listener, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if address == "" {
		m.lastHost++
		address = fmt.Sprintf("127.0.%d.%d", m.lastHost/250, 1+m.lastHost%250)
	}
	if !strings.Contains(address, ":") {
		m.lastPort++
		address = fmt.Sprintf("%s:%d", address, 20000+m.lastPort)
	}
	if m.listeners[address] != nil {
		return nil, opError("listen", address, os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	l := &memListener{network: m, addr: memAddr(address)}
	l.cond.L = &l.mutex
	m.listeners[address] = l
	return l, nil
}

// Dial implements Network.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	delay := m.delayTo(address)
	if err := Pause(ctx, 2*delay); err != nil {
		return nil, opError("dial", address, err)
	}
	for {
		m.mutex.Lock()
		l := m.listeners[address]
		m.lastPort++
		from := memAddr(fmt.Sprintf("127.0.0.1:%d", 20000+m.lastPort))
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

// Pause waits for d and returns nil. If ctx ends first, it returns the error of ctx.
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

	mutex    sync.Mutex
	cond     sync.Cond
	queue    []*memConn
	closed   bool
	unfrozen chan struct{} // closed by Freeze(false); nil = not frozen
}

// connect queues a connection for Accept and returns the client's end. While the listener is frozen, it returns a channel
// that is closed when connect may be called again.
func (l *memListener) connect(from memAddr, delay time.Duration) (net.Conn, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unfrozen != nil {
		return nil, l.unfrozen
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
	for (len(l.queue) == 0 || l.unfrozen != nil) && !l.closed {
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
	case on && l.unfrozen == nil:
		l.unfrozen = make(chan struct{})
	case !on && l.unfrozen != nil:
		close(l.unfrozen)
		l.unfrozen = nil
		l.cond.Broadcast()
	}
	return nil
}
