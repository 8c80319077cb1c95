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

// sharedWords are the shared file.
type sharedWords [1 + opCount]atomic.Uint64

func sharedWordsOf(raw []byte) *sharedWords {
	return (*sharedWords)(unsafe.Pointer(unsafe.SliceData(raw)))
}

// wallOffset is that of the wall clock.
func (w *sharedWords) wallOffset() time.Duration { return time.Duration(w[0].Load()) }

// consume uses up one failure of the operation and returns its error number; 0 = none is left.
func (w *sharedWords) consume(o Op) uint32 {
	for cell := &w[1+o]; ; {
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
	raw   []byte
	words *sharedWords
}

// NewControl makes the file and returns its control, by which nothing fails yet.
func NewControl(path string) (*Control, error) {
	if err := os.WriteFile(path, make([]byte, Size), 0o600); err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	defer f.Close()
	raw, err := unix.Mmap(int(f.Fd()), 0, Size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("faults: %s: %w", path, err)
	}
	return &Control{raw, sharedWordsOf(raw)}, nil
}

// Close lets go of the file.
func (c *Control) Close() error { return unix.Munmap(c.raw) }

// Step puts the process's wall clock off by so much.
func (c *Control) Step(offset time.Duration) { c.words[0].Store(uint64(offset)) }

// Fail lets the next calls of the operation fail, so many times; below 0 until Heal.
func (c *Control) Fail(o Op, errno syscall.Errno, times int) {
	n := uint64(untilHealed)
	if times >= 0 {
		n = uint64(times)
	}
	c.words[1+o].Store(n<<timesShift | uint64(errno))
}

// Hold lets each call of an operation that may be held take so much longer, in whole milliseconds, until Heal.
func (c *Control) Hold(o Op, long time.Duration) {
	c.words[1+o].Store(uint64(untilHealed)<<timesShift | uint64(long.Milliseconds()))
}

// Heal lets the operation fail no more, nor hold.
func (c *Control) Heal(o Op) { c.words[1+o].Store(0) }
