package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	rendezvousName    = "plankrouter.handover"
	rendezvousTimeout = 1500 * time.Millisecond // for a predecessor's answer, else this process goes on alone
	findTimeout       = 600 * time.Millisecond  // for one that is about to listen, as its own predecessor has just ended
	findPause         = 20 * time.Millisecond
	maxPathLen        = 100 // of a Unix socket, with something to spare
)

// ListenVariable names, in a process's environment, the descriptor of the listening socket that a platform holds for it and
// for whoever runs beside or after it.
const ListenVariable = "GW_LISTEN_FD"

// Held returns the listener that ListenVariable names; nil and nil if there is none. It has to listen on address, which is
// what this process is told to listen on. Closing it leaves the platform's socket open.
func Held(getenv func(string) string, address string) (*net.TCPListener, error) {
	value := getenv(ListenVariable)
	if value == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s=%q: not the number of an inherited descriptor", ListenVariable, value)
	}
	l, err := tcpListener(os.NewFile(uintptr(fd), ListenVariable))
	if err != nil {
		return nil, fmt.Errorf("%s=%s: %w", ListenVariable, value, err)
	}
	if at := l.Addr().String(); at != address {
		l.Close()
		return nil, fmt.Errorf("%s=%s: it listens on %s, but listen says %s", ListenVariable, value, at, address)
	}
	return l, nil
}

// rendezvousPath is the socket in folder, by a path that is short enough; done is to be called when it is no longer needed.
func rendezvousPath(folder string) (path string, done func(), err error) {
	path = filepath.Join(folder, rendezvousName)
	if len(path) <= maxPathLen {
		return path, func() {}, nil
	}
	d, err := os.Open(folder)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), rendezvousName), func() { d.Close() }, nil
}

// Listen makes this process the one that a second process finds in folder, in place of any earlier one.
func Listen(folder string) (*net.UnixListener, error) {
	path, done, err := rendezvousPath(folder)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer done()
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // a later process may have taken the name
	return l, nil
}

// Find returns the successor's side of a handover by the process that listens in folder, nil and nil if there is none. An error
// says why there is one that can't hand over: this process goes on alone then.
func Find(folder string) (*Successor, error) {
	path, done, err := rendezvousPath(folder)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer done()
	var c *net.UnixConn
	for until := time.Now().Add(findTimeout); ; time.Sleep(findPause) {
		c, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err == nil || !errors.Is(err, syscall.ECONNREFUSED) || time.Now().After(until) {
			break
		}
	}
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED): // that of a process that has ended
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Successor{control: &control{UnixConn: c}, foundPredecessor: true, cancelled: make(chan struct{}), decided: make(chan struct{})}
	c.SetReadDeadline(time.Now().Add(rendezvousTimeout))
	if err := s.readHello(); err != nil {
		return nil, s.Reject(err.Error())
	}
	c.SetReadDeadline(time.Time{})
	s.listener.Close() // this process has its own
	go s.awaitServe()
	return s, nil
}

// Meet hands over to a process that has found this one, over its connection, as Start does to one that it starts; but a
// successor that fails goes on living. What was passed to it without an answer is then nobody's: Pass returns nil, and the
// caller closes its copy.
func (h *Coordinator) Meet(ctx context.Context, c *net.UnixConn, l *net.TCPListener, o Options) (*Predecessor, error) {
	pid, err := peerProcess(c)
	if err == nil && !h.claim() {
		err = ErrUnderWay
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	p := &Predecessor{
		control: &control{UnixConn: c}, pid: pid, ackTimeout: rendezvousTimeout, lost: make(chan struct{}),
		answers: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	return h.prepare(ctx, p, l, o)
}

// peerProcess is the other process, which must be of the same user.
func peerProcess(c *net.UnixConn) (pid int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var who *syscall.Ucred
	if e := raw.Control(func(fd uintptr) {
		who, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); e != nil || err != nil {
		return 0, errors.Join(e, err)
	}
	if int(who.Uid) != os.Getuid() {
		return 0, fmt.Errorf("process %d belongs to another user", who.Pid)
	}
	return int(who.Pid), nil
}

// sendLines sends lines in as many messages as they need.
func (c *control) sendLines(k kind, lines []string) error {
	var body []byte
	for i, line := range lines {
		body = append(append(body, line...), '\n')
		if i == len(lines)-1 || len(body)+len(lines[i+1])+1 > maxBody {
			if err := c.send(message{kind: k, body: body}, -1); err != nil {
				return err
			}
			body = body[:0]
		}
	}
	return nil
}
