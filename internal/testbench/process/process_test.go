package process

import (
	"errors"
	"math"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// This process has figures, and one that does not exist is an error.
func TestOfAProcess(t *testing.T) {
	if used, err := CPUTime(os.Getpid()); err != nil || used <= 0 {
		t.Errorf("CPU %s, %v", used, err)
	}
	if held, err := ResidentMemory(os.Getpid()); err != nil || held < 1<<20 {
		t.Errorf("%d bytes, %v", held, err)
	}
	if _, err := CPUTime(math.MaxInt32 >> 3); err == nil {
		t.Error("a process that there is not has used CPU")
	}
	if _, err := ResidentMemory(math.MaxInt32); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the memory of a process that there is not: %v", err)
	}
}

// A program without a handler ends by SIGTERM, and one that can't be started is an error.
func TestStartAndStop(t *testing.T) {
	p, err := Start(exec.Command("sleep", "600"), -1)
	if err != nil {
		t.Fatal(err)
	}
	var how *exec.ExitError
	if err := p.Stop(); !errors.As(err, &how) || how.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
		t.Errorf("it has ended by %v", err)
	}
	if _, err := Start(exec.Command("/nowhere/to/be/found"), -1); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a program that there is not: %v", err)
	}
}
