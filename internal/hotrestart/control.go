package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// expiredDeadline is a deadline in the past: it makes pending and later I/O calls fail at once.
var expiredDeadline = time.Unix(1, 0)

// noDescriptor is the fd argument of send for a message without a descriptor.
const noDescriptor = -1

// control is one end of the SOCK_SEQPACKET socket between the two processes. Each message arrives complete, with its
// descriptor, or not at all. send is safe for concurrent use; receive must be called from one goroutine at a time.
type control struct {
	*net.UnixConn
	buffer [headerLen + maxBody]byte
}

// socketPair returns this process's end of a new control socket and the end that the successor inherits.
func socketPair() (*control, *os.File, error) {
	const socketType = syscall.SOCK_SEQPACKET | syscall.SOCK_CLOEXEC | syscall.SOCK_NONBLOCK
	fds, err := syscall.Socketpair(syscall.AF_UNIX, socketType, 0)
	if err != nil {
		return nil, nil, os.NewSyscallError("socketpair", err)
	}
	remote := os.NewFile(uintptr(fds[1]), "control socket")
	local, err := openControl(fds[0])
	if err != nil {
		remote.Close()
		return nil, nil, err
	}
	return local, remote, nil
}

// openControl takes ownership of the descriptor if it is an AF_UNIX SOCK_SEQPACKET socket. It leaves any other descriptor
// open and returns an error.
func openControl(fd int) (*control, error) {
	for option, want := range map[int]int{syscall.SO_DOMAIN: syscall.AF_UNIX, syscall.SO_TYPE: syscall.SOCK_SEQPACKET} {
		got, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, option)
		if err == nil && got != want {
			err = syscall.EPROTOTYPE
		}
		if err != nil {
			return nil, fmt.Errorf("descriptor %d is not a control socket: %w", fd, err)
		}
	}
	f := os.NewFile(uintptr(fd), "control socket")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return &control{UnixConn: c.(*net.UnixConn)}, nil
}

// send writes a message, together with a copy of a descriptor unless fd is noDescriptor. When it returns nil, the message is in
// the receive queue of the other end and can be read there even after this process has exited.
func (c *control) send(m message, fd int) error {
	var rights []byte
	if fd >= 0 {
		rights = syscall.UnixRights(fd)
	}
	_, _, err := c.WriteMsgUnix(m.encode(), rights, nil)
	return err
}

// sendConn sends a message with the descriptor of a socket. It doesn't use File().Fd(), which would switch the socket to
// blocking mode for every process that shares it.
func (c *control) sendConn(m message, s syscall.Conn) error {
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) { sendErr = c.send(m, int(fd)) }); err != nil {
		return err
	}
	return sendErr
}

// sendLines sends lines, each ended by a newline, in as many messages of kind k as maxBody requires.
func (c *control) sendLines(k kind, lines []string) error {
	var body []byte
	for i, line := range lines {
		body = append(append(body, line...), '\n')
		if i == len(lines)-1 || len(body)+len(lines[i+1])+1 > maxBody {
			if err := c.send(message{kind: k, body: body}, noDescriptor); err != nil {
				return err
			}
			body = body[:0]
		}
	}
	return nil
}

// receive waits for the next message and the descriptor that came with it, if any. The message is valid until the next
// call. It returns a wrapped io.EOF once the other end is closed and everything it sent has been read.
func (c *control) receive() (message, *os.File, error) {
	rights := make([]byte, syscall.CmsgSpace(4))
	for {
		n, rn, flags, _, err := c.ReadMsgUnix(c.buffer[:], rights)
		if errors.Is(err, syscall.ECONNRESET) {
			continue // reported once if the other end closed with unread data; the messages it sent can still be read
		}
		if err != nil {
			return message{}, nil, err
		}
		f := firstDescriptor(rights[:rn])
		m, err := decode(c.buffer[:n])
		if flags&syscall.MSG_TRUNC != 0 {
			err = fmt.Errorf("%w: longer than %d bytes", errMalformed, len(c.buffer))
		}
		if err != nil && f != nil {
			f.Close()
			f = nil
		}
		return m, f, err
	}
}

// firstDescriptor returns the first descriptor in the control data and closes any others. The descriptors are close-on-exec
// already. It returns nil if there is none, as when this process has reached its limit on open descriptors.
func firstDescriptor(rights []byte) *os.File {
	var first *os.File
	parts, _ := syscall.ParseSocketControlMessage(rights)
	for i := range parts {
		fds, _ := syscall.ParseUnixRights(&parts[i])
		for _, fd := range fds {
			if f := os.NewFile(uintptr(fd), "passed"); first == nil {
				first = f
			} else {
				f.Close()
			}
		}
	}
	return first
}

// isClosedByPeer reports whether a write failed because the other end is closed.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}
