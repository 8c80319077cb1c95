// Package faultinjection makes system calls of a real process fail and steps its wall clock, for soak tests. It is active
// only in a program built with the tag faultinjection: in others Inject never fails, Wall is time.Now, and both cost
// nothing.
//
// The soak test and the process share a file of Size bytes, whose path is in the environment variable FileVariable. It
// has the offset of the wall clock, then a cell for each operation. The soak test writes to it through a Control.
package faultinjection

// FileVariable is the environment variable that holds the path of the shared file, for a program built with the tag.
const FileVariable = "PLANKROUTER_FAULTS"

// Op is a kind of system call that can be made to fail.
type Op int

// The operations.
const (
	Accept Op = iota
	Listen
	Connect
	Poll
	Peek
	ReadConfig
	ReadFile  // of persistent state: operators' cordons, snapshots
	WriteFile // of persistent state, also creating and renaming files
	SyncFile
	SlowConnect // delayed instead of failed: see Control.Delay
	opCount
)

var opNames = [opCount]string{
	"accept", "listen", "connect", "poll", "peek", "read_config", "read_file", "write_file",
	"sync_file", "slow_connect",
}

func (o Op) String() string { return opNames[o] }

const (
	cellBytes    = 8                 // size of the clock offset and of each operation's cell
	countShift   = 32                // position of the number of failures in a cell, in bits
	untilCleared = 1<<countShift - 1 // a number of failures that is not decremented
)

// Size is the length of the shared file in bytes.
const Size = cellBytes * (1 + int(opCount))
