// Package transient tells system calls that fail for a moment from those that fail for good, and retries the former.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// retryPause is between two calls.
const retryPause = 20 * time.Millisecond

// localErrors are the errors in which nothing has left this machine: it lacks something that it may have again soon.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN,
}

// interruptedErrors are those of calls that were interrupted, and of files that can't be reached for a moment.
var interruptedErrors = []error{syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ESTALE}

// IsLocal reports whether this machine lacks what the call needs: that says nothing of anybody else.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(e error) bool { return errors.Is(err, e) })
}

// Is reports whether the call may succeed in a moment, with nothing changed but time.
func Is(err error) bool {
	return IsLocal(err) || slices.ContainsFunc(interruptedErrors, func(e error) bool { return errors.Is(err, e) })
}

// Retry makes the call until it succeeds or fails for good, but not after timeout. It returns the last error.
func Retry(timeout time.Duration, call func() error) error {
	start := time.Now()
	for {
		err := call()
		if err == nil || !Is(err) || time.Since(start) >= timeout {
			return err
		}
		time.Sleep(retryPause)
	}
}

// Interrupted repeats the call for as long as a signal interrupts it.
func Interrupted[T any](call func() (T, error)) (T, error) {
	for {
		v, err := call()
		if !errors.Is(err, syscall.EINTR) {
			return v, err
		}
	}
}
