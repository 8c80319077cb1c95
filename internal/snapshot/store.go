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

// ErrBusy means that another writer, of this process or another, is at work on the file.
var ErrBusy = errors.New("another writer is at work")

// Step is one of a write, in their order.
type Step string

// The steps. StepListLeftovers and StepRemoveLeftover may fail without harm: what killed writers have left stays until the next write.
const (
	StepLock           Step = "lock"
	StepListLeftovers  Step = "list leftovers"
	StepRemoveLeftover Step = "remove a leftover"
	StepCreate         Step = "create"
	StepWrite          Step = "write"
	StepSync           Step = "sync"
	StepRename         Step = "rename"
	StepSyncDir        Step = "sync the folder"
)

// Store keeps one snapshot in a file. It is safe for concurrent use.
type Store struct {
	Path     string
	MaxBytes int // of the file; 0 = DefaultMaxBytes
	// BeforeStep, if set, is called before each step on a file, and its error is the step's: a test's way to a disk that is
	// full or hangs, and to a process that is killed.
	BeforeStep func(step Step, path string) error
}

// runStep runs one step of a write.
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

// Write puts the snapshot in the place of the file, whole or not at all, and returns once the disk has it. After an
// error the earlier file is in force, but for one of StepSyncDir: then the new one is, unless power fails. It leaves an
// empty lock file beside it. A call of the disk may hang, and none can be called off: see Writer.
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

// lock takes the lock of flock(2), which ends with its process however that ends; a file that stands for a lock would
// outlive a killed one. The file stays: to remove it could part two writers that both think they hold it.
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

// removeLeftovers removes what killed writers have left; the lock says that nobody else is writing.
func (s *Store) removeLeftovers(dir, prefix string) {
	var all []os.DirEntry
	_ = s.runStep(StepListLeftovers, dir, func() (err error) {
		all, err = os.ReadDir(dir)
		return err
	})
	for _, e := range all {
		number, ours := strings.CutPrefix(e.Name(), prefix)
		if ours && number != "" && strings.Trim(number, "0123456789") == "" && e.Type().IsRegular() {
			path := filepath.Join(dir, e.Name())
			_ = s.runStep(StepRemoveLeftover, path, func() error { return os.Remove(path) })
		}
	}
}

// writeAndSync writes, syncs and closes. The sync must come before the rename: else a crash may leave the new name with no
// content.
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

// Read returns the snapshot in the file. Without one the error is an fs.ErrNotExist; else errors are those of Decode,
// or of the disk.
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
	out, err := Decode(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Path, err)
	}
	return out, nil
}
