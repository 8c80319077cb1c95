//go:build faultinjection

package faultinjection

import (
	"context"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// shared is the file shared with the soak test; nil = FileVariable is not set.
var shared = openShared(os.Getenv(FileVariable))

// openShared maps the file at path. It panics on an error, because the program must not run without a file that is set.
func openShared(path string) *sharedFile {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		panic("faultinjection: " + err.Error())
	}
	defer f.Close()
	raw, err := unix.Mmap(int(f.Fd()), 0, Size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		panic("faultinjection: " + path + ": " + err.Error())
	}
	return asSharedFile(raw)
}

// Inject returns the error with which the operation must fail now; nil = it must not fail.
func Inject(o Op) error {
	if shared == nil {
		return nil
	}
	if errno := shared.consume(o); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}

// Wait delays an operation by the time that the soak test has set. It returns an error only if ctx ends before that.
func Wait(ctx context.Context, o Op) error {
	if shared == nil {
		return nil
	}
	delay := time.Duration(shared.consume(o)) * time.Millisecond
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wall returns the time of the process's wall clock.
func Wall() time.Time {
	if shared == nil {
		return time.Now()
	}
	return time.Now().Add(shared.wallOffset())
}
