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

// sharedFile is the file in memory: the offset of the wall clock, then a cell for each operation, which has the number of times in its
// upper half and the error number, or the delay in ms, in its lower one.
type sharedFile [1 + opCount]atomic.Uint64

// sharedFileOf is the mapped file.
func sharedFileOf(raw []byte) *sharedFile {
	return (*sharedFile)(unsafe.Pointer(unsafe.SliceData(raw)))
}

// wallOffset is by how much the wall clock is put off.
func (f *sharedFile) wallOffset() time.Duration { return time.Duration(f[0].Load()) }

// consume uses up one failure of the operation and returns its error number; 0 = none is left.
func (f *sharedFile) consume(o Op) uint32 {
	for cell := &f[1+o]; ; {
		value := cell.Load()
		times, errno := value>>timesShift, uint32(value)
		switch {
		case times == 0:
			return 0
		case times == untilHealed || cell.CompareAndSwap(value, (times-1)<<timesShift|uint64(errno)):
			return errno
		}
	}
}

// Control is a soak's side of the file. It is safe for concurrent use.
type Control struct {
	raw  []byte
	file *sharedFile
}

// NewControl makes the file and returns its control, by which nothing fails yet.
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
	return &Control{raw, sharedFileOf(raw)}, nil
}

// Close releases the file.
func (c *Control) Close() error { return unix.Munmap(c.raw) }

// StepClock puts the process's wall clock off by so much.
func (c *Control) StepClock(offset time.Duration) { c.file[0].Store(uint64(offset)) }

// Fail lets the next calls of the operation fail, so many times; below 0 until Heal.
func (c *Control) Fail(o Op, errno syscall.Errno, times int) {
	n := uint64(untilHealed)
	if times >= 0 {
		n = uint64(times)
	}
	c.file[1+o].Store(n<<timesShift | uint64(errno))
}

// Delay lets each call of an operation that may be delayed take so much longer, in whole milliseconds, until Heal.
func (c *Control) Delay(o Op, long time.Duration) {
	c.file[1+o].Store(uint64(untilHealed)<<timesShift | uint64(long.Milliseconds()))
}

// Clear ends the failures and the delay of an operation.
func (c *Control) Clear(o Op) { c.file[1+o].Store(0) }
