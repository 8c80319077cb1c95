package transient

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestRetry(t *testing.T) {
	final := errors.New("permanent")
	for name, row := range map[string]struct {
		errs  []error // of the first calls; later ones succeed
		calls int
		want  error
	}{
		"succeeds":          {nil, 1, nil},
		"fails temporarily": {[]error{syscall.ENFILE, syscall.EINTR}, 3, nil},
		"fails permanently": {[]error{syscall.EIO, final}, 2, final},
		"does not exist":    {[]error{syscall.ENOENT}, 1, syscall.ENOENT},
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			err := Retry(time.Second, func() error {
				if calls++; calls > len(row.errs) {
					return nil
				}
				return os.NewSyscallError("open", row.errs[calls-1])
			})
			if !errors.Is(err, row.want) || calls != row.calls {
				t.Errorf("%s: %v after %d calls, want %v after %d", name, err, calls, row.want, row.calls)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		err := Retry(time.Second, func() error { return syscall.ENFILE })
		if took := time.Since(start); !errors.Is(err, syscall.ENFILE) || took < time.Second || took > 2*time.Second {
			t.Errorf("timed out after %s: %v", took, err)
		}
	})
}

func TestInterrupted(t *testing.T) {
	left := 5
	got, err := RetryInterrupted(func() (int, error) {
		if left--; left > 0 {
			return 0, os.NewSyscallError("poll", syscall.EINTR)
		}
		return 7, syscall.EAGAIN
	})
	if got != 7 || !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("%d, %v", got, err)
	}
}
