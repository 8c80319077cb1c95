package connlimit

import (
	"errors"
	"net"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/transient"
	"syscall"

	"golang.org/x/sys/unix"
)

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

// HasBacklog reports whether something lies in the listener's backlog. errors.ErrUnsupported says that it is no socket of the kernel's.
func HasBacklog(l net.Listener) (waiting bool, err error) {
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

// CloseIfBacklogEmpty closes the listener if nothing lies in its backlog, and reports whether it has. Between the look and the close nothing else is
// done: what knocks there is lost.
func CloseIfBacklogEmpty(l net.Listener) (closed bool, err error) {
	if waiting, err := HasBacklog(l); waiting || err != nil {
		return false, err
	}
	return true, l.Close()
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
