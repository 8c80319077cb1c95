package faultinjection

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// sharedFile is the layout of the shared file: the offset of the wall clock in nanoseconds, then a cell for each operation. The
// upper half of a cell has the number of failures left, the lower half the error number or, for a delayed operation, the
// delay in milliseconds.
type sharedFile [1 + opCount]atomic.Uint64

// asSharedFile returns the mapped bytes of the file as a sharedFile.
func asSharedFile(raw []byte) *sharedFile {
	return (*sharedFile)(unsafe.Pointer(unsafe.SliceData(raw)))
}

// wallOffset returns the offset of the process's wall clock from the machine's.
func (f *sharedFile) wallOffset() time.Duration { return time.Duration(f[0].Load()) }

// consume decrements the operation's number of failures and returns its error number or delay; 0 = no failure is left.
func (f *sharedFile) consume(o Op) uint32 {
	for cell := &f[1+o]; ; {
		value := cell.Load()
		count, errno := value>>countShift, uint32(value)
		switch {
		case count == 0:
			return 0
		case count == untilCleared || cell.CompareAndSwap(value, (count-1)<<countShift|uint64(errno)):
			return errno
		}
	}
}

// Control is a soak test's access to the shared file. It is safe for concurrent use.
type Control struct {
	raw  []byte
	file *sharedFile
}

// NewControl creates the shared file at path, initially without faults, and returns its Control.
func NewControl(path string) (*Control, error) {
	if err := os.WriteFile(path, make([]byte, Size), 0o600); err != nil {
		return nil, fmt.Errorf("faultinjection: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("faultinjection: %w", err)
	}
	defer f.Close()
	raw, err := unix.Mmap(int(f.Fd()), 0, Size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("faultinjection: %s: %w", path, err)
	}
	return &Control{raw, asSharedFile(raw)}, nil
}

// Close unmaps the file, and leaves it in place.
func (c *Control) Close() error { return unix.Munmap(c.raw) }

// StepClock sets the offset of the process's wall clock from the machine's.
func (c *Control) StepClock(offset time.Duration) { c.file[0].Store(uint64(offset)) }

// Fail makes the next calls of the operation fail with errno; times is their number, or below 0 for all calls until Clear.
func (c *Control) Fail(o Op, errno syscall.Errno, times int) {
	n := uint64(untilCleared)
	if times >= 0 {
		n = uint64(times)
	}
	c.file[1+o].Store(n<<countShift | uint64(errno))
}

// Delay makes each call of an operation that supports delays take longer by d, in whole milliseconds, until Clear.
func (c *Control) Delay(o Op, d time.Duration) {
	c.file[1+o].Store(uint64(untilCleared)<<countShift | uint64(d.Milliseconds()))
}

// Clear ends the failures and the delay of an operation.
func (c *Control) Clear(o Op) { c.file[1+o].Store(0) }
