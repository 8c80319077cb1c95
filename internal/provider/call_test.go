package provider

import (
	"net"
	"os"
	"syscall"
	"testing"

	"plankrouter/internal/ending"
	"plankrouter/internal/sockets"
)

// What this machine could not even try says nothing of the provider.
func TestLocalFaultsAreNobodysElse(t *testing.T) {
	for err, want := range map[error]ending.Ending{
		syscall.EMFILE: ending.LocalFault, syscall.ENETUNREACH: ending.LocalFault, syscall.EADDRNOTAVAIL: ending.LocalFault,
		syscall.ECONNREFUSED: ending.Refused, syscall.EHOSTUNREACH: ending.Refused, syscall.ECONNRESET: ending.Refused,
		os.ErrDeadlineExceeded: ending.ConnectTimeout, sockets.ErrNone: ending.NoSocket,
	} {
		if got := dialEnding(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
