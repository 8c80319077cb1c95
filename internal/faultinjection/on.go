//go:build faultinjection

package faultinjection

import (
	"context"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// shared is the soak's file; nil = the environment names none.
var shared = openShared(os.Getenv(FileVariable))

// openShared maps the file, which the program can't do without once it is named.
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
	return sharedFileOf(raw)
}

// Inject returns the error with which the operation is to fail now; nil = it is not to.
func Inject(o Op) error {
	if shared == nil {
		return nil
	}
	if errno := shared.consume(o); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}

// Wait delays an operation for as long as the soak says; an error is that of ctx, which has ended before.
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

// Wall reads the wall clock.
func Wall() time.Time {
	if shared == nil {
		return time.Now()
	}
	return time.Now().Add(shared.wallOffset())
}
