// Package faultinjection lets a soak fail the system calls of a real process and step its wall clock. Only a program that is built with
// the tag faultinjection does so: elsewhere Inject never fails, Wall is time.Now, and both cost nothing.
//
// The two processes share a file of Size bytes, which the environment variable File names: the offset of the wall clock, then a
// cell for each operation. Whoever writes it uses Control.
package faultinjection

// FileVariable names, in the environment of a program with the tag, the file that says what is to fail.
const FileVariable = "PLANKROUTER_FAULTS"

// Op is a kind of system call that may be failed.
type Op int

// The operations.
const (
	Accept Op = iota
	Listen
	Connect
	Poll
	Peek
	ReadConfig
	ReadFile  // of state that lasts: operators' cordons, snapshots
	WriteFile // likewise, also creating and renaming
	SyncFile
	SlowConnect // not failed but delayed: see Control.Hold
	opCount
)

var names = [opCount]string{
	"accept", "listen", "connect", "poll", "peek", "read_config", "read_file", "write_file",
	"sync_file", "slow_connect",
}

func (o Op) String() string { return names[o] }

const (
	cellBytes   = 8 // bytes of the offset, and of the cell of an operation
	timesShift  = 32
	untilHealed = 1<<timesShift - 1 // as a number of times
)

// Size is the length of the file.
const Size = cellBytes * (1 + int(opCount))
