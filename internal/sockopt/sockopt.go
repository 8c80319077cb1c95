// Package sockopt inspects sockets by system calls: whether there is something to read, whether the peer has closed, whether
// a listener's backlog is empty. The calls neither consume data nor block.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/transient"
)

// The system calls, as variables for tests.
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

// HasNothingUnread reports whether there is nothing to read, neither bytes nor a close or reset by the peer. It reports true
// for a connection without a descriptor.
func HasNothingUnread(c net.Conn) bool {
	var err error
	known := control(c, func(fd int) {
		var b [1]byte
		_, err = transient.RetryInterrupted(func() (int, error) { return peek(fd, b[:]) })
	})
	return !known || errors.Is(err, syscall.EAGAIN)
}

// HasPeerClosed reports whether the peer has closed its sending side or reset the connection, even if bytes that it sent
// before are still unread.
func HasPeerClosed(c net.Conn) (closed bool) {
	control(c, func(fd int) {
		_, events, err := pollNow(fd, unix.POLLRDHUP)
		closed = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// pollNow polls for the wanted events without blocking. It returns whether there are any, including errors, and which.
func pollNow(fd int, wanted int16) (ready bool, events int16, err error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: wanted}}
	n, err := transient.RetryInterrupted(func() (int, error) { return poll(fds, 0) })
	return n > 0, fds[0].Revents, err
}

// SinceLastReceive returns the time since the last bytes arrived, read or not, as reported by the kernel. The time of the read
// is no substitute, since the process may have been suspended before it. known is false if the kernel doesn't report it. A
// connection without a descriptor is within this process: the result is 0, because its bytes arrive at once.
func SinceLastReceive(c net.Conn) (since time.Duration, known bool) {
	known = true
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		known = err == nil && info.State != 0 // 0 is not a TCP state: the kernel has filled in nothing
		if known {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since, known
}

// Unacknowledged returns how many written bytes the peer's machine has not acknowledged yet. known is false if the kernel doesn't
// report it, and for a connection without a descriptor.
func Unacknowledged(c net.Conn) (bytes int, known bool) {
	var err error
	reached := control(c, func(fd int) { bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return bytes, reached && err == nil
}

// Unread returns how many bytes have been received and not read. known is false if the kernel doesn't report it, and for a
// connection without a descriptor.
func Unread(c net.Conn) (bytes int, known bool) {
	var err error
	reached := control(c, func(fd int) { bytes, err = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	return bytes, reached && err == nil
}

// control calls f with the descriptor of the connection and reports whether there is one.
func control(c net.Conn, f func(fd int)) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// HasBacklog reports whether connections wait in the listener's backlog. The error is errors.ErrUnsupported if the listener
// has no descriptor.
func HasBacklog(l net.Listener) (waiting bool, err error) {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, err
	}
	controlErr := raw.Control(func(fd uintptr) { waiting, _, err = pollNow(int(fd), unix.POLLIN) })
	return waiting, errors.Join(controlErr, err)
}

// CloseIfBacklogEmpty closes the listener if its backlog is empty, and reports whether it did. It closes directly after the
// check, because a connection that arrives in between is lost.
func CloseIfBacklogEmpty(l net.Listener) (closed bool, err error) {
	if waiting, err := HasBacklog(l); waiting || err != nil {
		return false, err
	}
	return true, l.Close()
}
