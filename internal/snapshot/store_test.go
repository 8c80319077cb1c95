package snapshot

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// faultInjector fails one step of a write and tracks what a power loss would then revert.
type faultInjector struct {
	stepsLeft int // steps before the fault
	err       error
	crash     bool            // all later steps fail, too
	unsynced  map[string]bool // files that may not be complete on disk
	replaced  []byte          // previous contents of the renamed file, until the directory is synced
}

func (f *faultInjector) before(path string) func(Step, string) error {
	return func(step Step, at string) error {
		if f.stepsLeft--; f.stepsLeft == -1 || f.stepsLeft < -1 && f.crash {
			if step == StepWrite {
				_ = os.WriteFile(at, []byte("half of it"), 0o600)
			}
			return f.err
		}
		switch step {
		case StepWrite, StepSync:
			f.unsynced[at] = step == StepWrite
		case StepRename:
			f.replaced, _ = os.ReadFile(path)
			f.unsynced[path] = f.unsynced[at]
		case StepSyncDir:
			f.replaced = nil
		}
		return nil
	}
}

func (f *faultInjector) powerLoss(path string) {
	if f.unsynced[path] {
		_ = os.Truncate(path, 50)
	}
	if f.replaced != nil {
		_ = os.WriteFile(path, f.replaced, 0o600)
	}
}

// A fault at any step of a write leaves a complete file, the previous or the new one, and the next write removes leftovers.
func TestFaultyWriteLeavesCompleteFile(t *testing.T) {
	before, after := largeFleet(3, 1), largeFleet(5, 2)
	for _, c := range []struct {
		err          error
		crash, power bool
	}{
		{errors.New("killed"), true, false},
		{errors.New("power loss"), true, true},
		{syscall.ENOSPC, false, false},
		{syscall.EROFS, false, false},
	} {
		for k := range 9 {
			what := fmt.Sprintf("%v at step %d", c.err, k)
			s := &Store{Path: filepath.Join(t.TempDir(), "state")}
			for _, err := range []error{
				s.Write(before), os.WriteFile(s.Path+".tmp-123", nil, 0o600),
				os.WriteFile(s.Path+".tmp-mine", nil, 0o600),
			} {
				checkEqual(t, what, nil, err)
			}
			f := &faultInjector{stepsLeft: k, err: c.err, crash: c.crash, unsynced: map[string]bool{}}
			s.BeforeStep = f.before(s.Path)
			err := s.Write(after)
			if (f.stepsLeft == 0) != (k == 8) || err != nil && !errors.Is(err, c.err) { // the last run has no fault
				t.Fatalf("%s: %d steps left, %v", what, f.stepsLeft, err)
			}
			if leftovers := must(filepath.Glob(s.Path + ".tmp-[0-9]???*")); !c.crash && leftovers != nil {
				t.Errorf("%s: left %q", what, leftovers)
			}
			if c.power {
				f.powerLoss(s.Path)
			}
			want := before
			if err == nil || k == 7 && !c.power { // renamed, but the directory not synced
				want = after
			}
			checkEqual(t, what, want, must(s.Read()))
			if s.BeforeStep = nil; s.Write(after) != nil {
				t.Errorf("%s: the next write fails", what)
			}
			checkEqual(t, what, []string{s.Path, s.Path + ".lock", s.Path + ".tmp-mine"}, must(filepath.Glob(s.Path+"*")))
		}
	}
}

func TestStore(t *testing.T) {
	s := &Store{Path: filepath.Join(t.TempDir(), "state")}
	check := func(what string, want, err error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
	}
	read := func() error { _, err := s.Read(); return err }
	check("without a file", os.ErrNotExist, read())
	lock := must(s.lock())
	check("with another writer", ErrBusy, s.Write(largeFleet(1, 0)))
	lock.Close()
	check("after the other writer", nil, s.Write(largeFleet(1, 0)))
	checkEqual(t, "mode", os.FileMode(0o600), must(os.Stat(s.Path)).Mode())
	s.MaxBytes = 100
	check("reading too much", ErrTooLarge, read())
	check("writing too much", ErrTooLarge, s.Write(largeFleet(1, 0)))
	check("not a directory", syscall.ENOTDIR, (&Store{Path: s.Path + "/below a file"}).Write(largeFleet(1, 0)))
}

func TestWriter(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var logged []string
		var takes atomic.Int64
		var disk atomic.Value // func() error: the result of a write
		disk.Store(func() error { return nil })
		w := &Writer{
			Interval: 10 * time.Second, Seed: 7, Store: &Store{Path: filepath.Join(dir, "state")},
			Take: func() *Snapshot {
				if takes.Add(1) == 2 {
					return nil
				}
				return largeFleet(2, 1)
			},
			Logf: func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) },
		}
		w.Store.BeforeStep = func(s Step, _ string) error {
			if s != StepLock {
				return nil
			}
			return disk.Load().(func() error)()
		}
		counts := func(what string, written, failed, skipped int64, lines ...string) {
			t.Helper()
			synctest.Wait()
			checkEqual(t, what, []int64{written, failed, skipped},
				[]int64{w.Written.Load(), w.Failed.Load(), w.Skipped.Load()})
			if !slices.EqualFunc(logged, lines, strings.Contains) {
				t.Errorf("%s: logged %q", what, logged)
			}
		}
		run := func() (stop func() error) {
			ctx, cancel := context.WithCancel(t.Context())
			end := make(chan error, 1)
			go func() { end <- w.Run(ctx) }()
			return func() error { cancel(); return <-end }
		}
		stop := run()
		time.Sleep(34 * time.Second)
		counts("at intervals", 2, 0, 0)
		disk.Store(func() error { return syscall.ENOSPC })
		time.Sleep(9 * time.Minute) // writes fail after 10, 20, 40, 80, 160 and 160 s
		counts("disk fails", 2, 6, 0, "state=failed")
		disk.Store(func() error { return nil })
		time.Sleep(165 * time.Second)
		checkEqual(t, "at the end", nil, stop())
		n := w.Written.Load()
		counts("disk recovers", max(n, 4), 6, 0, "state=failed", "state=written_again")

		for i, c := range []struct {
			blocked, runTime time.Duration // duration of the first write, and of Run
			err              error
		}{{lastWriteTimeout / 2, lastWriteTimeout / 2, nil}, {time.Hour, lastWriteTimeout, ErrLastWriteTimeout}} {
			block := make(chan struct{})
			disk.Store(func() error { <-block; return nil })
			stop = run()
			time.Sleep(34 * time.Second)
			counts("disk hangs", n+2*int64(i), 6, 2+2*int64(i), "state=failed", "state=written_again")
			from := time.Now()
			time.AfterFunc(c.blocked, func() { close(block) })
			if err := stop(); !errors.Is(err, c.err) || time.Since(from) != c.runTime {
				t.Errorf("a write that hangs for %v: after %v %v", c.blocked, time.Since(from), err)
			}
		}
		time.Sleep(2 * time.Hour)
	})
}
