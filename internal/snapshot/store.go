package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// ErrBusy means that another writer, in this process or another one, holds the lock of the file.
var ErrBusy = errors.New("another writer holds the lock")

// Step is a step of Store.Write.
type Step string

// Steps in the order in which they run. A write goes on if StepListLeftovers or StepRemoveLeftover fails: the temporary
// files of killed writers then stay until the next write.
const (
	StepLock           Step = "lock"
	StepListLeftovers  Step = "list leftovers"
	StepRemoveLeftover Step = "remove a leftover"
	StepCreate         Step = "create"
	StepWrite          Step = "write"
	StepSync           Step = "sync"
	StepRename         Step = "rename"
	StepSyncDir        Step = "sync the directory"
)

// Store reads and writes one snapshot file. It is safe for concurrent use.
type Store struct {
	Path     string
	MaxBytes int // bound on the size of the file; 0 = DefaultMaxBytes
	// BeforeStep, if set, is called before each step; the step fails with its error. Tests use it to simulate a disk that is
	// full or hangs, and a killed process.
	BeforeStep func(step Step, path string) error
}

// runStep runs one step of a write and adds the path and the step to its error.
func (s *Store) runStep(step Step, path string, run func() error) error {
	var err error
	if s.BeforeStep != nil {
		err = s.BeforeStep(step, path)
	}
	if err == nil {
		err = run()
	}
	if err != nil {
		return fmt.Errorf("snapshot: %s: %s: %w", path, step, err)
	}
	return nil
}

// Write replaces the file atomically and returns once it is synced to disk. After an error the previous file is in place,
// except that after an error of StepSyncDir it is the new one, which a power failure may revert. Write leaves an empty lock file
// next to the file. A system call on the disk may hang and can't be cancelled: see Writer.
func (s *Store) Write(snap *Snapshot) error {
	b, err := Encode(snap, s.MaxBytes)
	if err != nil {
		return err
	}
	lock, err := s.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	dir, prefix := filepath.Dir(s.Path), filepath.Base(s.Path)+".tmp-"
	s.removeLeftovers(dir, prefix)
	var f *os.File
	err = s.runStep(StepCreate, s.Path, func() error {
		f, err = os.CreateTemp(dir, prefix+"*") // with mode 0600
		return err
	})
	if err != nil {
		return err
	}
	if err = s.writeAndSync(f, b); err == nil {
		err = s.runStep(StepRename, f.Name(), func() error { return os.Rename(f.Name(), s.Path) })
	}
	if err != nil {
		return errors.Join(err, s.runStep(StepRemoveLeftover, f.Name(), func() error { return os.Remove(f.Name()) }))
	}
	return s.runStep(StepSyncDir, dir, func() error {
		d, err := os.Open(dir)
		if err != nil {
			return err
		}
		return errors.Join(d.Sync(), d.Close())
	})
}

// lock locks the lock file by flock(2). The kernel releases the lock when the process ends in any way, while a lock that
// consists in the existence of a file would outlive a killed process. The lock file is not removed: otherwise two writers
// could each hold a lock, on the removed file and on a new one.
func (s *Store) lock() (f *os.File, err error) {
	path := s.Path + ".lock"
	err = s.runStep(StepLock, path, func() error {
		if f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			return err
		}
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return nil
		}
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrBusy
		}
		return errors.Join(err, f.Close())
	})
	return f, err
}

// removeLeftovers removes the temporary files of killed writers. The caller holds the lock, so that no other writer uses one.
func (s *Store) removeLeftovers(dir, prefix string) {
	var all []os.DirEntry
	_ = s.runStep(StepListLeftovers, dir, func() (err error) {
		all, err = os.ReadDir(dir)
		return err
	})
	for _, e := range all {
		number, ok := strings.CutPrefix(e.Name(), prefix)
		if ok && number != "" && strings.Trim(number, "0123456789") == "" && e.Type().IsRegular() {
			path := filepath.Join(dir, e.Name())
			_ = s.runStep(StepRemoveLeftover, path, func() error { return os.Remove(path) })
		}
	}
}

// writeAndSync writes b to f, syncs and closes it. The sync has to precede the rename: otherwise a crash may leave an empty
// file under the new name.
func (s *Store) writeAndSync(f *os.File, b []byte) error {
	err := s.runStep(StepWrite, f.Name(), func() error {
		_, err := f.Write(b)
		return err
	})
	if err == nil {
		err = s.runStep(StepSync, f.Name(), f.Sync)
	}
	return errors.Join(err, f.Close())
}

// Read returns the snapshot in the file. The error is fs.ErrNotExist if there is no file, else one of Decode or of the disk.
func (s *Store) Read() (*Snapshot, error) {
	f, err := os.Open(s.Path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	maxBytes := orDefault(s.MaxBytes)
	b, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(b) > maxBytes {
		return nil, fmt.Errorf("snapshot: %s: %w: the limit is %d bytes", s.Path, ErrTooLarge, maxBytes)
	}
	snap, err := Decode(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Path, err)
	}
	return snap, nil
}
