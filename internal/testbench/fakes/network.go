package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Network is what fakes and sidecars talk over. Both kinds show the same behaviour to both ends of a connection, and
// both are safe for concurrent use.
type Network interface {
	// Listen takes "" for a host and a port of the network's choice, "host" for a port of its choice, or "host:port",
	// as when a process starts again where another has ended.
	Listen(address string) (Listener, error)
	// Dial opens a connection to host:port. Where nobody listens it fails with syscall.ECONNREFUSED; where the machine
	// has vanished it hangs until ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Listener is a net.Listener on a machine that can vanish.
type Listener interface {
	net.Listener
	// Freeze makes Accept wait and new connections hang, unanswered, until it is called with false. What
	// has been accepted before is not its business.
	Freeze(on bool) error
}

// Abort ends a connection with a reset: what the other side still reads, behind what had arrived, and writes fails with
// syscall.ECONNRESET.
func Abort(c net.Conn) {
	switch c := c.(type) {
	case interface{ Abort() }:
		c.Abort()
	case *net.TCPConn:
		c.SetLinger(0)
		_ = c.Close()
	default:
		c.Close()
	}
}

// loopback is TCP in 127.0.0.0/8. Its hosts are those of this process alone, so that no other takes the port of a peer
// that is down for a while.
type loopback struct {
	mutex sync.Mutex
	last  int
}

// Loopback returns the network of real sockets and real time.
func Loopback() Network { return &loopback{} }

func (l *loopback) host() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.last = l.last%250 + 1
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid&0xff, l.last)
}

func (l *loopback) Listen(address string) (Listener, error) {
	if address == "" {
		address = l.host()
	}
	if !strings.Contains(address, ":") {
		address += ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &tcpListener{TCPListener: listener.(*net.TCPListener), closed: make(chan struct{})}, nil
}

func (l *loopback) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

const (
	backlog    = 4096
	fillers    = 16 // more than a queue of none takes
	fillFrom   = "127.255.255.254"
	fillWithin = 30 * time.Millisecond
	fullAfter  = 3 // connections in a row that did not come up
)

// tcpListener can freeze: a kernel leaves those unanswered who knock at a listener whose queue is full. So the queue is
// cut to nothing and filled.
type tcpListener struct {
	*net.TCPListener
	once   sync.Once
	closed chan struct{}

	mutex  sync.Mutex
	thawed chan struct{} // nil = not frozen
	fill   []net.Conn
}

func (l *tcpListener) Accept() (net.Conn, error) {
	for {
		l.mutex.Lock()
		thaw := l.thawed
		l.mutex.Unlock()
		if thaw != nil {
			select {
			case <-thaw:
			case <-l.closed:
				return nil, net.ErrClosed
			}
		}
		c, err := l.TCPListener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // Freeze has woken it
		case err == nil && strings.HasPrefix(c.RemoteAddr().String(), fillFrom):
			c.Close()
		default:
			return c, err
		}
	}
}

func (l *tcpListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closeFillers()
	return l.TCPListener.Close()
}

func (l *tcpListener) Freeze(on bool) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case on == (l.thawed != nil):
		return nil
	case on:
		l.thawed = make(chan struct{})
		if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
		if err := l.setBacklog(0); err != nil {
			return err
		}
		return l.fillQueue()
	}
	err := errors.Join(l.setBacklog(backlog), l.SetDeadline(time.Time{}))
	l.closeFillers()
	close(l.thawed)
	l.thawed = nil
	return err
}

// setBacklog sets how many connections may wait for Accept.
func (l *tcpListener) setBacklog(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// fillQueue fills the queue until a connection no longer comes up.
func (l *tcpListener) fillQueue() error {
	d := net.Dialer{Timeout: fillWithin, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fillFrom)}}
	for late := 0; late < fullAfter; { // one that is late may only have met a busy machine
		if len(l.fill) >= fillers {
			return fmt.Errorf("freeze %s: its queue can't be filled, so that new connections would not hang", l.Addr())
		}
		c, err := d.Dial("tcp", l.Addr().String())
		if err != nil {
			late++
			continue
		}
		late, l.fill = 0, append(l.fill, c)
	}
	return nil
}

func (l *tcpListener) closeFillers() {
	for _, c := range l.fill {
		c.Close()
	}
	l.fill = nil
}
