package main

import (
	"golang.org/x/sys/unix"

	"plankrouter/internal/admin"
	"plankrouter/internal/connlimit"
)

const (
	// transientDescriptors is the most descriptors, apart from connections, that are open only for a while: the rendezvous
	// socket by which a second process finds this one (1); both ends of a successor's control socket, the two of the pipe that
	// reports its start, its standard input and its process (6); the lock of snapshots and the file being written (2); the
	// same for cordons (2); the configuration during a reload (1).
	transientDescriptors = 1 + 6 + 2 + 2 + 1

	watchConns    = 1 // the watch has one connection at a time
	adminDivisor  = 4 // operators get at most the remaining descriptors divided by this
	minAdminConns = 2 // least number for operators, even if it is more than that part
	minConns      = 4 // least number for clients and servers, even beyond the limit: with fewer no request is served
)

// descriptorShares is the division of the descriptors that this process may have open.
type descriptorShares struct {
	conns int // for clients and servers; up to connlimit.MaxClosing more while connections are closed to make room
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
// checks each number, since /proc doesn't list all of them on a system that implements sockets outside the kernel.
func openDescriptors(limit int) (n int) {
	for fd := range limit {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}
