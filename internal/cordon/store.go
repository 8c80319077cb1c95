package cordon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"plankrouter/internal/transient"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	version  = 1
	maxBytes = 1 << 20

	// PollInterval is how soon a process knows what another one has been told: well within a drain's grace.
	PollInterval = 50 * time.Millisecond

	settled = time.Second // since a file was first seen: two that are written at one moment can look the same from outside
)

// Step is one of an access to the file.
type Step string

// The steps.
const (
	StepOpen   Step = "open"
	StepRead   Step = "read"
	StepLock   Step = "lock"
	StepWrite  Step = "write"
	StepSync   Step = "sync"
	StepRename Step = "rename"
)

// Store is the set that this process goes by. Where Path is set the file there is the truth, for this process and any other of
// the same sidecar, and outlives them. It is safe for concurrent use.
type Store struct {
	Path string // "" = the set is kept by this process alone

	// BeforeStep, if set, is called before each step on a file, and its error is the step's: a test's way to a disk that fails.
	BeforeStep func(step Step, path string) error

	mu   sync.Mutex
	set  Set
	seen fs.FileInfo // of the file that set was read from or written to; nil = there was none
	at   time.Time   // when it was first seen
	raw  []byte      // what was in it
}

// file is what is kept.
type file struct {
	Version int `json:"version"`
	Set
}

// ErrMalformedFile says that the file was read and is none of this program's. Any other error is of the disk, which may be back soon.
var ErrMalformedFile = errors.New("bans")

// saw notes which file was read or written.
func (s *Store) saw(info fs.FileInfo) { s.seen, s.at = info, time.Now() }

// Read takes over what the file says, if it has changed, and returns the set, and whether it is another one. After an error
// the set stays as it was; a file that is not there bans nobody further.
func (s *Store) Read() (set Set, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err = s.refresh()
	return s.set.Clone(), changed, err
}

func (s *Store) refresh() (changed bool, err error) {
	if s.Path == "" {
		return false, nil
	}
	var f *os.File
	err = s.do(StepOpen, s.Path, func() error {
		f, err = os.Open(s.Path)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("bans: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return false, fmt.Errorf("bans: %w", err)
	}
	same := s.seen != nil && os.SameFile(s.seen, info) && s.seen.ModTime().Equal(info.ModTime())
	if same && time.Since(s.at) > settled {
		return false, nil
	}
	var raw []byte
	err = s.do(StepRead, s.Path, func() error {
		raw, err = io.ReadAll(io.LimitReader(f, maxBytes))
		return err
	})
	if err != nil { // of the disk, which may be back at the next look
		return false, fmt.Errorf("bans: %w", err)
	}
	if !same {
		s.saw(info) // also a bad one: it is complained of once
	}
	if s.raw != nil && bytes.Equal(raw, s.raw) {
		return false, nil
	}
	s.raw = raw
	var in file
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &in); err != nil {
		return false, fmt.Errorf("%w: %s: %w; remove the file, or disable the tile servers again", ErrMalformedFile, s.Path, err)
	}
	if in.Version != version {
		return false, fmt.Errorf("%w: %s: version %d, this program knows %d; disable the tile servers again", ErrMalformedFile, s.Path,
			in.Version, version)
	}
	s.set = in.Set
	return true, nil
}

// Update applies how to the set, as all processes know it, and keeps the outcome, whole or not at all. After an error nothing
// has changed.
func (s *Store) Update(how func(*Set) error) (Set, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Path == "" {
		next := s.set.Clone()
		if err := how(&next); err != nil {
			return Set{}, err
		}
		s.set = next
		return next.Clone(), nil
	}
	lock, err := s.lock()
	if err != nil {
		return Set{}, fmt.Errorf("bans: %w", err)
	}
	defer lock.Close()
	// A file that says nothing is about to be replaced. One that can't be read may say what another process was told.
	if _, err := s.refresh(); err != nil && !errors.Is(err, ErrMalformedFile) {
		return Set{}, err
	}
	next := s.set.Clone()
	if err := how(&next); err != nil {
		return Set{}, err
	}
	if err := s.write(next); err != nil {
		return Set{}, fmt.Errorf("bans: %w", err)
	}
	s.set = next
	return next.Clone(), nil
}

// do is one step.
func (s *Store) do(step Step, path string, how func() error) error {
	if s.BeforeStep != nil {
		if err := s.BeforeStep(step, path); err != nil {
			return &fs.PathError{Op: string(step), Path: path, Err: err}
		}
	}
	return how()
}

// lock waits until no other process writes, which takes one small write, and keeps others from it until the file is closed.
func (s *Store) lock() (f *os.File, err error) {
	path := s.Path + ".lock"
	return transient.Interrupted(func() (*os.File, error) {
		err := s.do(StepLock, path, func() error {
			if f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
				return err
			}
			if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
				return errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
			}
			return nil
		})
		return f, err
	})
}

// write puts the set in the place of the file.
func (s *Store) write(set Set) error {
	raw, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(file{version, set})
	if err != nil {
		return err
	}
	next := s.Path + ".next" // one writer at a time holds the lock
	info, err := s.fill(next, raw)
	if err == nil {
		err = s.do(StepRename, s.Path, func() error { return os.Rename(next, s.Path) })
	}
	if err == nil {
		s.saw(info)
		s.raw = raw
	}
	return err
}

// fill writes the file, and returns once the disk has it.
func (s *Store) fill(path string, raw []byte) (info fs.FileInfo, err error) {
	var f *os.File
	err = s.do(StepWrite, path, func() error {
		if f, err = os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600); err == nil {
			_, err = f.Write(raw)
		}
		return err
	})
	if f == nil {
		return nil, err
	}
	if err == nil {
		err = s.do(StepSync, path, f.Sync)
	}
	if err == nil {
		info, err = f.Stat()
	}
	return info, errors.Join(err, f.Close())
}

// Watch calls changed when another process has written a set, and failed with what keeps it from being read, until
// ctx ends.
func (s *Store) Watch(ctx context.Context, changed func(), failed func(error)) {
	if s.Path == "" {
		return
	}
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	told := "" // the failure that was told last
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, is, err := s.Read()
		switch {
		case err != nil && err.Error() != told:
			told = err.Error()
			failed(err)
		case err == nil:
			told = ""
		}
		if is {
			changed()
		}
	}
}
