package main

import (
	"plankrouter/internal/admin"
	"plankrouter/internal/connlimit"

	"golang.org/x/sys/unix"
)

const (
	// passing are the descriptors that come and go beside connections, all at once: the place where a second process finds this
	// one; a successor's control socket, its other end, two of the pipe by which its start is told, its standard input and its
	// process; the lock of snapshots and the file that is written; the same of bans; the configuration as it is read anew.
	passing = 1 + 6 + 2 + 2 + 1

	watchPlaces    = 1 // the watch has one connection at a time
	operatorsPart  = 4 // of what is left then, at most one in so many is for operators,
	leastOperators = 2
	leastPlaces    = 4 // and so many are for consumers and providers, whatever the limit is: without them nothing is served
)

// share is how the descriptors are shared out that this process may hold.
type share struct {
	places    int // for consumers and providers, and as many more as connlimit.Closing says while they make room for one another
	watch     int // for the directory, whatever the others hold
	operators int // for operators' connections, likewise
}

// divide shares out so many descriptors, of which some are held already, so that the sum of all that may be open at a time does
// not exceed them.
func divide(limit, held int, operators bool) (s share) {
	s.watch = watchPlaces
	left := limit - held - passing - s.watch
	if operators {
		s.operators = max(leastOperators, min(admin.MostConns, left/operatorsPart))
	}
	s.places = max(leastPlaces, connlimit.Within(left-s.operators))
	return s
}

// sum is the most that may be open at a time.
func (s share) sum(held int) int {
	return held + passing + s.watch + s.operators + s.places + connlimit.Closing(s.places)
}

// held is how many descriptors this process holds by now, of those that count: its own and what it was started with. Each number
// is asked for, since files of /proc don't show them all where a process's sockets are not the kernel's.
func held(limit int) (n int) {
	for fd := range limit {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}
