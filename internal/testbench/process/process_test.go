package process

import (
	"errors"
	"math"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// CPUTime and ResidentMemory return values for this process and an error for one that does not exist.
func TestProcessUsage(t *testing.T) {
	if used, err := CPUTime(os.Getpid()); err != nil || used <= 0 {
		t.Errorf("CPU %s, %v", used, err)
	}
	if held, err := ResidentMemory(os.Getpid()); err != nil || held < 1<<20 {
		t.Errorf("%d bytes, %v", held, err)
	}
	if _, err := CPUTime(math.MaxInt32 >> 3); err == nil {
		t.Error("CPU time of a process that does not exist, without an error")
	}
	if _, err := ResidentMemory(math.MaxInt32); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("memory of a process that does not exist: %v", err)
	}
}

// Stop ends a program without a signal handler by SIGTERM; Start returns an error for a program that does not exist.
func TestStartAndStop(t *testing.T) {
	p, err := Start(exec.Command("sleep", "600"), -1)
	if err != nil {
		t.Fatal(err)
	}
	var how *exec.ExitError
	if err := p.Stop(); !errors.As(err, &how) || how.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
		t.Errorf("the program ended with %v, want SIGTERM", err)
	}
	if _, err := Start(exec.Command("/nowhere/to/be/found"), -1); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a program that does not exist: %v", err)
	}
}
