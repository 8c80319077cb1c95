package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// longAgo is a deadline that ends calls at once.
var longAgo = time.Unix(1, 0)

// noDescriptor says that a message goes without one.
const noDescriptor = -1

// control is one end of the socket between the two processes. It carries packets: each message arrives whole, with its
// descriptor, or not at all. send is safe for concurrent use; receive is for one goroutine at a time.
type control struct {
	*net.UnixConn
	buffer [headerLen + maxBody]byte
}

// socketPair returns this process's end and the one to be inherited.
func socketPair() (*control, *os.File, error) {
	const how = syscall.SOCK_SEQPACKET | syscall.SOCK_CLOEXEC | syscall.SOCK_NONBLOCK
	ends, err := syscall.Socketpair(syscall.AF_UNIX, how, 0)
	if err != nil {
		return nil, nil, os.NewSyscallError("socketpair", err)
	}
	theirs := os.NewFile(uintptr(ends[1]), "control socket")
	mine, err := openControl(ends[0])
	if err != nil {
		theirs.Close()
		return nil, nil, err
	}
	return mine, theirs, nil
}

// openControl takes the descriptor over if it is an end of such a socket, and leaves it alone if it is anything else.
func openControl(fd int) (*control, error) {
	for option, want := range map[int]int{syscall.SO_DOMAIN: syscall.AF_UNIX, syscall.SO_TYPE: syscall.SOCK_SEQPACKET} {
		got, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, option)
		if err == nil && got != want {
			err = syscall.EPROTOTYPE
		}
		if err != nil {
			return nil, fmt.Errorf("descriptor %d is no control socket: %w", fd, err)
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

// send writes a message, and with it a copy of a descriptor unless fd is noDescriptor. Without an error it lies in the
// other end's queue, where only the other process can still get at it, whatever becomes of this one.
func (c *control) send(m message, fd int) error {
	var rights []byte
	if fd >= 0 {
		rights = syscall.UnixRights(fd)
	}
	_, _, err := c.WriteMsgUnix(m.encode(), rights, nil)
	return err
}

// sendConn sends a message with the descriptor of a socket, which stays in the non-blocking mode that its users share:
// File().Fd() would change that for all of them.
func (c *control) sendConn(m message, s syscall.Conn) error {
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) { sent = c.send(m, int(fd)) }); err != nil {
		return err
	}
	return sent
}

// sendLines sends lines in as many messages as they need.
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

// receive waits for the next message and the descriptor that came with it, if any. The message is good until the next
// call. io.EOF, wrapped, says that the other end is closed and that nothing it sent is left.
func (c *control) receive() (message, *os.File, error) {
	rights := make([]byte, syscall.CmsgSpace(4))
	for {
		n, rn, flags, _, err := c.ReadMsgUnix(c.buffer[:], rights)
		if errors.Is(err, syscall.ECONNRESET) {
			continue // said once where the other end has left something unread; what it sent comes after that
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

// firstDescriptor returns the first descriptor in the control data and closes any more. They are close-on-exec already. None
// arrives where this process has no number left for it.
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
