package backend

import (
	"net"
	"os"
	"syscall"
	"testing"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
)

// An error of this machine, for which nothing was sent, is not counted against the server.
func TestLocalErrorsAreNotBlamedOnServer(t *testing.T) {
	for err, want := range map[error]outcome.Kind{
		syscall.EMFILE: outcome.LocalError, syscall.ENETUNREACH: outcome.LocalError, syscall.EADDRNOTAVAIL: outcome.LocalError,
		syscall.ECONNREFUSED: outcome.ConnectRefused, syscall.EHOSTUNREACH: outcome.ConnectRefused, syscall.ECONNRESET: outcome.ConnectRefused,
		os.ErrDeadlineExceeded: outcome.ConnectTimeout, connlimit.ErrLimitReached: outcome.ConnectionLimit,
	} {
		if got := dialOutcome(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
