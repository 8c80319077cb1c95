package faultinjection

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The process reads the faults that a soak test sets, and each failure is consumed by the operation that it is set for.
func TestControl(t *testing.T) {
	c, err := NewControl(filepath.Join(t.TempDir(), "faults"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}()
	c.Fail(Accept, syscall.ENFILE, 2)
	c.Fail(Poll, syscall.EINTR, -1)
	for i, want := range []syscall.Errno{syscall.ENFILE, syscall.ENFILE, 0, 0} {
		if got := syscall.Errno(c.file.consume(Accept)); got != want {
			t.Errorf("accept %d: %v, want %v", i, got, want)
		}
		if got := syscall.Errno(c.file.consume(Poll)); got != syscall.EINTR {
			t.Errorf("poll %d: %v", i, got)
		}
	}
	if c.Clear(Poll); c.file.consume(Poll) != 0 || c.file.consume(SyncFile) != 0 {
		t.Error("a cleared operation, or one without a fault, fails")
	}
	for _, delay := range []time.Duration{120 * time.Millisecond, 300 * time.Millisecond} {
		if c.Delay(SlowConnect, delay); time.Duration(c.file.consume(SlowConnect))*time.Millisecond != delay {
			t.Errorf("%s: another delay is read", delay)
		}
	}
	if c.Clear(SlowConnect); c.file.consume(SlowConnect) != 0 {
		t.Error("a cleared operation is delayed")
	}
	for _, d := range []time.Duration{-time.Hour, time.Hour} {
		if c.StepClock(d); c.file.wallOffset() != d {
			t.Errorf("stepped by %s, read %s", d, c.file.wallOffset())
		}
	}
}

// A program built without the tag injects no faults, and its wall clock is the machine's.
func TestWithoutBuildTag(t *testing.T) {
	if err := Inject(Accept); err != nil {
		t.Error(err)
	}
	if d := time.Since(Wall()); d < -time.Second || d > time.Second {
		t.Errorf("the wall clock is off by %s", d)
	}
}
