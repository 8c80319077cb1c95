// Package transient tells system calls that fail for a moment from those that fail for good, and tries the former again.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// pause is between two tries.
const pause = 20 * time.Millisecond

// local are the errors in which nothing has left this machine: it lacks something that it may have again soon.
var local = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN,
}

// momentary are those of files and calls that were interrupted.
var momentary = []error{syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ESTALE}

// IsLocal reports whether this machine lacks what the call needs: that says nothing of anybody else.
func IsLocal(err error) bool {
	return slices.ContainsFunc(local, func(e error) bool { return errors.Is(err, e) })
}

// Is reports whether the call may succeed in a moment, with nothing changed but time.
func Is(err error) bool {
	return IsLocal(err) || slices.ContainsFunc(momentary, func(e error) bool { return errors.Is(err, e) })
}

// Retry calls f until it succeeds or fails for good, but no later than within from now. It returns f's last error.
func Retry(within time.Duration, f func() error) error {
	began := time.Now()
	for {
		err := f()
		if err == nil || !Is(err) || time.Since(began) >= within {
			return err
		}
		time.Sleep(pause)
	}
}

// Interrupted calls f for as long as a signal interrupts it.
func Interrupted[T any](f func() (T, error)) (T, error) {
	for {
		v, err := f()
		if !errors.Is(err, syscall.EINTR) {
			return v, err
		}
	}
}
