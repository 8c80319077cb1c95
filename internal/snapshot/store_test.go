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

// disaster strikes at one step of a write. It knows what a loss of power would then undo.
type disaster struct {
	left     int // steps before it
	err      error
	crash    bool            // nothing happens after it
	unsynced map[string]bool // files that the disk may not have whole
	replaced []byte          // what the rename took the place of, until the folder is synced
}

func (d *disaster) before(path string) func(Step, string) error {
	return func(step Step, at string) error {
		if d.left--; d.left == -1 || d.left < -1 && d.crash {
			if step == StepFill {
				_ = os.WriteFile(at, []byte("half of it"), 0o600)
			}
			return d.err
		}
		switch step {
		case StepFill, StepSync:
			d.unsynced[at] = step == StepFill
		case StepRename:
			d.replaced, _ = os.ReadFile(path)
			d.unsynced[path] = d.unsynced[at]
		case StepSyncDir:
			d.replaced = nil
		}
		return nil
	}
}

func (d *disaster) powerLoss(path string) {
	if d.unsynced[path] {
		_ = os.Truncate(path, 50)
	}
	if d.replaced != nil {
		_ = os.WriteFile(path, d.replaced, 0o600)
	}
}

// At each step of a write in turn something happens. The file is whole all the time, and the next write clears up.
func TestStoreIsOldOrNew(t *testing.T) {
	before, after := fleet(3, 1), fleet(5, 2)
	for _, c := range []struct {
		err          error
		crash, power bool
	}{{errors.New("killed"), true, false}, {errors.New("no power"), true, true}, {syscall.ENOSPC, false, false},
		{syscall.EROFS, false, false}} {
		for k := range 9 {
			what := fmt.Sprintf("%v at step %d", c.err, k)
			s := &Store{Path: filepath.Join(t.TempDir(), "state")}
			if err := s.Write(before); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{".tmp-123", ".tmp-mine"} {
				if err := os.WriteFile(s.Path+name, nil, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			d := &disaster{left: k, err: c.err, crash: c.crash, unsynced: map[string]bool{}}
			s.Before = d.before(s.Path)
			err := s.Write(after)
			if (d.left == 0) != (k == 8) || err != nil && !errors.Is(err, c.err) { // the last run is one without fault
				t.Fatalf("%s: %d steps left, %v", what, d.left, err)
			}
			if c.power {
				d.powerLoss(s.Path)
			}
			want := before
			if err == nil || k == 7 && !c.power { // renamed, but the folder not synced
				want = after
			}
			got, bad := s.Read()
			if bad != nil {
				t.Fatalf("%s: %v", what, bad)
			}
			same(t, what, want, got)
			if s.Before = nil; s.Write(after) != nil {
				t.Errorf("%s: no write after it", what)
			}
			left, _ := filepath.Glob(s.Path + "*")
			same(t, what, []string{s.Path, s.Path + ".lock", s.Path + ".tmp-mine"}, left)
		}
	}
}

func TestStore(t *testing.T) {
	s := &Store{Path: filepath.Join(t.TempDir(), "state")}
	if _, err := s.Read(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a file: %v", err)
	}
	lock, err := s.lock()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Write(fleet(1, 0)); !errors.Is(err, ErrBusy) {
		t.Errorf("beside another writer: %v", err)
	}
	lock.Close()
	if err := s.Write(fleet(1, 0)); err != nil {
		t.Error(err)
	}
	if info, err := os.Stat(s.Path); err != nil || info.Mode() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	s.MaxBytes = 100
	if _, err := s.Read(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("reading a larger file: %v", err)
	}
	if err := s.Write(fleet(1, 0)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("writing a larger one: %v", err)
	}
	if err := (&Store{Path: s.Path + "/below a file"}).Write(fleet(1, 0)); !errors.Is(err, syscall.ENOTDIR) {
		t.Errorf("in no folder: %v", err)
	}
}

func TestWriter(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var logged []string
		var takes atomic.Int64
		var before atomic.Value
		before.Store(func() error { return nil })
		w := &Writer{Every: 10 * time.Second, Seed: 7,
			Store: &Store{Path: filepath.Join(dir, "state"), Before: func(s Step, _ string) error {
				if s == StepLock {
					return before.Load().(func() error)()
				}
				return nil
			}},
			Take: func() *Snapshot {
				if takes.Add(1) == 2 {
					return nil
				}
				return fleet(2, 1)
			},
			Logf: func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) }}
		counts := func(what string, written, failed, skipped int64, lines ...string) {
			t.Helper()
			synctest.Wait()
			same(t, what, []int64{written, failed, skipped}, []int64{w.Written.Load(), w.Failed.Load(), w.Skipped.Load()})
			if !slices.EqualFunc(logged, lines, strings.Contains) {
				t.Errorf("%s: logged %q", what, logged)
			}
		}
		run := func() (stop func(), end chan error) {
			ctx, stop := context.WithCancel(t.Context())
			end = make(chan error, 1)
			go func() { end <- w.Run(ctx) }()
			return stop, end
		}
		stop, end := run()
		time.Sleep(34 * time.Second)
		counts("at intervals", 2, 0, 0)
		before.Store(func() error { return syscall.ENOSPC })
		time.Sleep(9 * time.Minute) // after 10, 20, 40, 80, 160 and 160 s
		counts("the disk fails", 2, 6, 0, "state=failed")
		before.Store(func() error { return nil })
		time.Sleep(165 * time.Second) // at most 160 s and their jitter until the next, and fewer than 10 s after it
		stop()
		if err := <-end; err != nil {
			t.Error(err)
		}
		n := w.Written.Load()
		counts("it recovers", max(n, 4), 6, 0, "state=failed", "state=written_again")

		hang := make(chan struct{})
		before.Store(func() error { <-hang; return nil })
		stop, end = run()
		time.Sleep(34 * time.Second)
		counts("the disk hangs", n, 6, 2, "state=failed", "state=written_again")
		from := time.Now()
		stop()
		if err := <-end; !errors.Is(err, ErrLate) || time.Since(from) != endWithin {
			t.Errorf("after %v: %v", time.Since(from), err)
		}
		close(hang)
	})
}
