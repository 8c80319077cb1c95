package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
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
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), rendezvousName), func() { _ = d.Close() }, nil
}

// ListenForSuccessor makes this process the one that a second process finds in folder, in place of any earlier one.
func ListenForSuccessor(folder string) (*net.UnixListener, error) {
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

// FindPredecessor returns the successor's side of a handover by the process that listens in folder, nil and nil if there is none. An error
// says why there is one that can't hand over: this process goes on alone then.
func FindPredecessor(folder string) (*Successor, error) {
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
	_ = c.SetReadDeadline(time.Now().Add(rendezvousTimeout)) // fails on a closed connection alone, which readHello sees
	if err := s.readHello(); err != nil {
		return nil, s.Reject(err.Error())
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = s.listener.Close() // this process has its own
	go s.awaitServe()
	return s, nil
}

// HandOverTo hands over to a process that has found this one, over its connection, as Start does to one that it starts; but a
// successor that fails goes on living. What was passed to it without an answer is then nobody's: TransferConn returns
// nil, and the caller closes its copy.
func (c *Coordinator) HandOverTo(ctx context.Context, conn *net.UnixConn, l *net.TCPListener, o Options) (*Predecessor, error) {
	pid, err := peerProcess(conn)
	if err == nil && !c.claim() {
		err = ErrInProgress
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	p := &Predecessor{
		control: &control{UnixConn: conn}, pid: pid, ackTimeout: rendezvousTimeout, lost: make(chan struct{}),
		answers: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	return c.prepare(ctx, p, l, o)
}

// peerProcess is the other process, which must be of the same user.
func peerProcess(c *net.UnixConn) (pid int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *syscall.Ucred
	if e := raw.Control(func(fd uintptr) {
		credentials, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); e != nil || err != nil {
		return 0, errors.Join(e, err)
	}
	if int(credentials.Uid) != os.Getuid() {
		return 0, fmt.Errorf("process %d belongs to another user", credentials.Pid)
	}
	return int(credentials.Pid), nil
}
