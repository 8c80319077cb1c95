package main

import (
	"golang.org/x/sys/unix"

	"plankrouter/internal/admin"
	"plankrouter/internal/connlimit"
)

const (
	// transientDescriptors are those that come and go beside connections, all at once: the rendezvous socket by which a second process
	// finds this one (1); a successor's control socket, its other end, two of the pipe by which its start is reported, its standard input
	// and its process (6); the lock of snapshots and the file that is written (2); the same of cordons (2); the configuration as it is
	// read anew (1).
	transientDescriptors = 1 + 6 + 2 + 2 + 1

	watchConns    = 1 // the watch has one connection at a time
	adminDivisor  = 4 // of what is left then, at most one in so many is for operators,
	minAdminConns = 2 // but this many in any case
	minConns      = 4 // for clients and servers, whatever the limit is: without them nothing is served
)

// descriptorShares is how the descriptors are shared out that this process may hold.
type descriptorShares struct {
	conns int // for clients and servers, and as many more as connlimit.MaxClosing says while they make room for one another
	watch int // for discovery, whatever the others hold
	admin int // for operators' connections, likewise
}

// shareDescriptors shares out so many descriptors, of which some are open already, so that the sum of all that may be open at a time does
// not exceed them.
func shareDescriptors(limit, open int, withAdmin bool) (s descriptorShares) {
	s.watch = watchConns
	left := limit - open - transientDescriptors - s.watch
	if withAdmin {
		s.admin = max(minAdminConns, min(admin.MaxConns, left/adminDivisor))
	}
	s.conns = max(minConns, connlimit.MaxSocketsWithin(left-s.admin))
	return s
}

// total is the most that may be open at a time.
func (s descriptorShares) total(open int) int {
	return open + transientDescriptors + s.watch + s.admin + s.conns + connlimit.MaxClosing(s.conns)
}

// openDescriptors is how many descriptors this process has open by now, of those that count: its own and what it was started with. Each number
// is asked for, since files of /proc don't show them all where a process's sockets are not the kernel's.
func openDescriptors(limit int) (n int) {
	for fd := range limit {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}
