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

// Network connects fakes and sidecars. Its implementations, Memory and Loopback, behave alike at both ends of a connection
// and are safe for concurrent use.
type Network interface {
	// Listen listens at an address: at "host:port", as a restarted process does; at "host", with a port chosen by the network;
	// or at "", with a host and port chosen by the network.
	Listen(address string) (Listener, error)
	// Dial opens a connection to host:port. It fails with syscall.ECONNREFUSED if nothing listens there and hangs until ctx
	// ends if the machine is unreachable.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Listener is a net.Listener on a machine that can become unreachable.
type Listener interface {
	net.Listener
	// Freeze(true) makes Accept block and new connections hang until Freeze(false). Accepted connections are not affected.
	Freeze(on bool) error
}

// Abort closes a connection with a reset. At the other end, writes fail with syscall.ECONNRESET, and so do reads once the data
// already received has been read.
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

// loopback is TCP in 127.0.0.0/8. Its host addresses depend on the process id, so that no other process takes the port of
// a server that is temporarily down.
type loopback struct {
	mutex    sync.Mutex
	lastHost int
}

// Loopback returns a network of TCP sockets on the loopback interface, in real time.
func Loopback() Network { return &loopback{} }

func (l *loopback) host() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastHost = l.lastHost%250 + 1
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid&0xff, l.lastHost)
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
	backlog           = 4096
	maxFillers        = 16 // limit on filler connections, above the number that the kernel queues with a backlog of 0
	fillerIP          = "127.255.255.254"
	fillerTimeout     = 30 * time.Millisecond
	fullAfterTimeouts = 3 // consecutive dial timeouts after which the queue counts as full
)

// tcpListener implements Freeze for TCP. The kernel drops connection requests to a listener whose accept queue is full, so
// Freeze sets the backlog to 0 and fills the queue with its own connections.
type tcpListener struct {
	*net.TCPListener
	once   sync.Once
	closed chan struct{}

	mutex    sync.Mutex
	unfrozen chan struct{} // closed by Freeze(false); nil = not frozen
	fillers  []net.Conn
}

func (l *tcpListener) Accept() (net.Conn, error) {
	for {
		l.mutex.Lock()
		thaw := l.unfrozen
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
		case errors.Is(err, os.ErrDeadlineExceeded): // Freeze has interrupted Accept
		case err == nil && strings.HasPrefix(c.RemoteAddr().String(), fillerIP):
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
	case on == (l.unfrozen != nil):
		return nil
	case on:
		l.unfrozen = make(chan struct{})
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
	close(l.unfrozen)
	l.unfrozen = nil
	return err
}

// setBacklog sets the maximum length of the accept queue.
func (l *tcpListener) setBacklog(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// fillQueue opens connections until dialing times out fullAfterTimeouts times in a row.
func (l *tcpListener) fillQueue() error {
	d := net.Dialer{Timeout: fillerTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fillerIP)}}
	for late := 0; late < fullAfterTimeouts; { // a single timeout may be due to a busy machine
		if len(l.fillers) >= maxFillers {
			return fmt.Errorf("freeze %s: the accept queue could not be filled, so new connections would not hang", l.Addr())
		}
		c, err := d.Dial("tcp", l.Addr().String())
		if err != nil {
			late++
			continue
		}
		late, l.fillers = 0, append(l.fillers, c)
	}
	return nil
}

func (l *tcpListener) closeFillers() {
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
}
