// Package sockopt has the system calls that look at one socket: whether something has come in, whether the other side has gone, what
// lies in a listener's backlog. They neither read nor wait.
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

// The system calls themselves; a test puts others in their place.
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

// HasNothingUnread reports whether nothing is unread, neither bytes nor the other side's close or reset. A connection without a descriptor
// counts as quiet.
func HasNothingUnread(c net.Conn) bool {
	var err error
	known := control(c, func(fd int) {
		var b [1]byte
		_, err = transient.Interrupted(func() (int, error) { return peek(fd, b[:]) })
	})
	return !known || errors.Is(err, syscall.EAGAIN)
}

// HasPeerClosed reports whether the other side has ended its sending or broken the connection, even if what it sent before that is
// still unread.
func HasPeerClosed(c net.Conn) (left bool) {
	control(c, func(fd int) {
		_, events, err := pollNow(fd, unix.POLLRDHUP)
		left = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}

// pollNow looks for the wanted events without waiting. It returns whether there are any, those of errors included, and which.
func pollNow(fd int, wanted int16) (ready bool, events int16, err error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: wanted}}
	n, err := transient.Interrupted(func() (int, error) { return poll(fds, 0) })
	return n > 0, fds[0].Revents, err
}

// SinceLastReceive is how long ago the last bytes came in, read or not. It is not known if the kernel does not say: this process may have
// paused before it read them. Bytes of a connection within the process arrive at once.
func SinceLastReceive(c net.Conn) (since time.Duration, known bool) {
	known = true
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		known = err == nil && info.State != 0 // a state of 0 is none of TCP's: the kernel has filled in nothing
		if known {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since, known
}

// control calls f with the connection's descriptor, and reports whether there is one.
func control(c net.Conn, f func(fd int)) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// HasBacklog reports whether connections wait in the listener's backlog. errors.ErrUnsupported says that the listener is not a socket
// of the kernel's.
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

// CloseIfBacklogEmpty closes the listener if its backlog is empty, and reports whether it has. Nothing else happens between the look
// and the close, because a connection that arrives there is lost.
func CloseIfBacklogEmpty(l net.Listener) (closed bool, err error) {
	if waiting, err := HasBacklog(l); waiting || err != nil {
		return false, err
	}
	return true, l.Close()
}
