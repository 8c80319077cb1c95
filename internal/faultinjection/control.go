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

// words are the shared file.
type words [1 + ops]atomic.Uint64

func wordsOf(raw []byte) *words { return (*words)(unsafe.Pointer(unsafe.SliceData(raw))) }

// wallOffset is that of the wall clock.
func (w *words) wallOffset() time.Duration { return time.Duration(w[0].Load()) }

// take uses up one failure of the operation and returns its error number; 0 = none is left.
func (w *words) take(o Op) uint32 {
	for cell := &w[1+o]; ; {
		now := cell.Load()
		times, errno := now>>timesShift, uint32(now)
		switch {
		case times == 0:
			return 0
		case times == always || cell.CompareAndSwap(now, (times-1)<<timesShift|uint64(errno)):
			return errno
		}
	}
}

// Control is a soak's side of the file. It is safe for concurrent use.
type Control struct {
	raw   []byte
	words *words
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
	return &Control{raw, wordsOf(raw)}, nil
}

// Close lets go of the file.
func (c *Control) Close() error { return unix.Munmap(c.raw) }

// Step puts the process's wall clock off by so much.
func (c *Control) Step(offset time.Duration) { c.words[0].Store(uint64(offset)) }

// Fail lets the next calls of the operation fail, so many times; below 0 until Heal.
func (c *Control) Fail(o Op, errno syscall.Errno, times int) {
	n := uint64(always)
	if times >= 0 {
		n = uint64(times)
	}
	c.words[1+o].Store(n<<timesShift | uint64(errno))
}

// Hold lets each call of an operation that may be held take so much longer, in whole milliseconds, until Heal.
func (c *Control) Hold(o Op, long time.Duration) {
	c.words[1+o].Store(uint64(always)<<timesShift | uint64(long.Milliseconds()))
}

// Heal lets the operation fail no more, nor hold.
func (c *Control) Heal(o Op) { c.words[1+o].Store(0) }
