//go:build faultinjection

package faultinjection

import (
	"context"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// shared is what the soak says; nil = the environment names no file.
var shared = open(os.Getenv(File))

func open(path string) *words {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		panic("faults: " + err.Error())
	}
	defer f.Close()
	raw, err := unix.Mmap(int(f.Fd()), 0, Size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		panic("faults: " + path + ": " + err.Error())
	}
	return wordsOf(raw)
}

// Inject returns the error with which the operation is to fail now; nil = it is not to.
func Inject(o Op) error {
	if shared == nil {
		return nil
	}
	if errno := shared.take(o); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}

// Wait holds an operation for as long as it is to take more; an error is that of ctx, which has ended before.
func Wait(ctx context.Context, o Op) error {
	if shared == nil {
		return nil
	}
	held := time.Duration(shared.take(o)) * time.Millisecond
	if held == 0 {
		return nil
	}
	select {
	case <-time.After(held):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wall reads the wall clock.
func Wall() time.Time {
	if shared == nil {
		return time.Now()
	}
	return time.Now().Add(shared.wallOffset())
}
