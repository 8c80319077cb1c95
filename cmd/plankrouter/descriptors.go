package main

import (
	"golang.org/x/sys/unix"

	"plankrouter/internal/admin"
	"plankrouter/internal/connlimit"
)

const (
	// transientDescriptors is the most descriptors that are open for a while, apart from connections: the rendezvous socket
	// by which a second process finds this one (1); both ends of a successor's control socket, the two of the pipe that
	// reports its start, its standard input and its process (6); the lock of snapshots and the file being written (2); the
	// same for cordons (2); the configuration during a reload (1).
	transientDescriptors = 1 + 6 + 2 + 2 + 1

	watchConns    = 1 // the watch has one connection at a time
	adminDivisor  = 4 // of the remaining descriptors at most this part (1/4) is for operators,
	minAdminConns = 2 // but at least this many
	minConns      = 4 // for clients and servers, even beyond the limit: with fewer no request is served
)

// descriptorShares is the division of the descriptors that this process may have open.
type descriptorShares struct {
	conns int // for clients and servers, and connlimit.MaxClosing more while connections are closed to make room
	watch int // reserved for discovery
	admin int // reserved for operators' connections
}

// divideDescriptors divides limit descriptors, of which open are open already, so that no more than limit are open at a time.
// The limit is exceeded only if it leaves less than minConns for clients and servers; see total.
func divideDescriptors(limit, open int, withAdmin bool) (s descriptorShares) {
	s.watch = watchConns
	left := limit - open - transientDescriptors - s.watch
	if withAdmin {
		s.admin = max(minAdminConns, min(admin.MaxConns, left/adminDivisor))
	}
	s.conns = max(minConns, connlimit.MaxSocketsWithin(left-s.admin))
	return s
}

// total returns the most descriptors that may be open at a time, with open of them from the start.
func (s descriptorShares) total(open int) int {
	return open + transientDescriptors + s.watch + s.admin + s.conns + connlimit.MaxClosing(s.conns)
}

// openDescriptors returns how many descriptors below limit this process has open: its own and those it was started with. It
// checks each number, since /proc doesn't list all of them where a process's sockets are not the kernel's.
func openDescriptors(limit int) (n int) {
	for fd := range limit {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}
