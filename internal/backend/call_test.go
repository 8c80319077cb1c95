package backend

import (
	"net"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"syscall"
	"testing"
)

// What this machine could not even try says nothing of the provider.
func TestLocalFaultsAreNobodysElse(t *testing.T) {
	for err, want := range map[error]outcome.Ending{
		syscall.EMFILE: outcome.LocalFault, syscall.ENETUNREACH: outcome.LocalFault, syscall.EADDRNOTAVAIL: outcome.LocalFault,
		syscall.ECONNREFUSED: outcome.Refused, syscall.EHOSTUNREACH: outcome.Refused, syscall.ECONNRESET: outcome.Refused,
		os.ErrDeadlineExceeded: outcome.ConnectTimeout, connlimit.ErrNone: outcome.NoSocket,
	} {
		if got := dialEnding(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
