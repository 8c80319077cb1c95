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
	rendezvousName    = "plankrouter.handover"  // file name of the socket by which two processes of a sidecar find each other
	rendezvousTimeout = 1500 * time.Millisecond // for the next message of the other process; after that each serves alone
	findTimeout       = 600 * time.Millisecond  // to connect: a process whose predecessor has just exited may listen soon
	findRetryInterval = 20 * time.Millisecond   // between two attempts to connect
	maxPathLen        = 100                     // longest path of a Unix socket in bytes, a few below the kernel's limit
)

// rendezvousPath returns a path to the socket in folder that is short enough for a Unix socket address. The caller calls
// done when it no longer uses the path.
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

// ListenForSuccessor listens on the rendezvous socket in folder, on which FindPredecessor of a second process connects.
// It replaces the socket of an earlier process.
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
	l.SetUnlinkOnClose(false) // a later process may have replaced the socket
	return l, nil
}

// FindPredecessor returns the successor's side of a handover from the process that listens in folder, or nil and nil if
// there is none. An error means that there is such a process but it can't hand over: this process then continues alone.
func FindPredecessor(folder string) (*Successor, error) {
	path, done, err := rendezvousPath(folder)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer done()
	var c *net.UnixConn
	for deadline := time.Now().Add(findTimeout); ; time.Sleep(findRetryInterval) {
		c, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err == nil || !errors.Is(err, syscall.ECONNREFUSED) || time.Now().After(deadline) {
			break
		}
	}
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED): // refused: the listening process has exited
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Successor{control: &control{UnixConn: c}, startedByPlatform: true, cancelled: make(chan struct{}), serveDecided: make(chan struct{})}
	_ = c.SetReadDeadline(time.Now().Add(rendezvousTimeout)) // fails only on a closed connection, which readHello detects
	if err := s.readHello(); err != nil {
		return nil, s.Reject(err.Error())
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = s.listener.Close() // this process has opened its own listener
	go s.awaitServe()
	return s, nil
}

// HandOverTo hands over to a process that has connected to this one by FindPredecessor. It differs from Start in that a
// failed successor keeps running. Such a successor may be using a connection that it has not acknowledged, so this
// process must not use it again: TransferConn returns nil, and the caller closes its copy.
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
		pending: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	return c.prepare(ctx, p, l, o)
}

// peerProcess returns the id of the process at the other end of c. It returns an error if that process is of another user.
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
