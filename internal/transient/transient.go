// Package transient distinguishes temporary from permanent errors of system calls, and retries after the former.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// retryPause is the delay between two attempts.
const retryPause = 20 * time.Millisecond

// localErrors are the errors of calls that lack a local resource, such as descriptors, memory, ports or a route, which may be
// available again soon. Nothing has left this machine when they occur.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN,
}

// interruptedErrors are the errors of interrupted calls and of files that are temporarily unavailable.
var interruptedErrors = []error{syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ESTALE}

// IsLocal reports whether the call failed because this machine lacks a resource, which says nothing about the remote side.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(e error) bool { return errors.Is(err, e) })
}

// Is reports whether err is temporary: the same call may succeed shortly.
func Is(err error) bool {
	return IsLocal(err) || slices.ContainsFunc(interruptedErrors, func(e error) bool { return errors.Is(err, e) })
}

// Retry repeats the call until it succeeds, fails permanently, or timeout has passed. It returns the last error.
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

// RetryInterrupted repeats the call for as long as it returns EINTR, and returns its last result.
func RetryInterrupted[T any](call func() (T, error)) (T, error) {
	for {
		v, err := call()
		if !errors.Is(err, syscall.EINTR) {
			return v, err
		}
	}
}
