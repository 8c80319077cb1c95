package main

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// acceptSuccessors continues after a failed accept on the rendezvous socket, and returns once the socket is closed or its
// context ends.
func TestRendezvousSurvivesFailedAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{syscall.ENFILE, syscall.ECONNABORTED, nil, syscall.ENOBUFS, nil, net.ErrClosed}
		met := 0
		startedAt := time.Now()
		acceptSuccessors(t.Context(), func() (*net.UnixConn, error) {
			err := errs[0]
			errs = errs[1:]
			return nil, err
		}, func(*net.UnixConn) { met++ })
		if met != 2 || len(errs) > 0 {
			t.Errorf("%d processes were met, want 2; %d accepts were not made", met, len(errs))
		}
		if took := time.Since(startedAt); took > time.Second {
			t.Errorf("three failures took %s", took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Minute)
			cancel()
		}()
		acceptSuccessors(ctx, func() (*net.UnixConn, error) { return nil, syscall.ENFILE }, func(*net.UnixConn) { met++ })
		if met != 2 || ctx.Err() == nil {
			t.Errorf("%d processes were met, want 2; ended before its context: %t", met, ctx.Err() == nil)
		}
	})
}
