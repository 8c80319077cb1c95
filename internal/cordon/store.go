package cordon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"plankrouter/internal/transient"
)

const (
	fileVersion  = 1
	maxFileBytes = 1 << 20

	// PollInterval bounds how late a process knows what operators asked of another one: well within a drain's grace.
	PollInterval = 50 * time.Millisecond

	// minFileAge is how long a file must have been known to be taken for unchanged by its attributes: two that are written at one moment
	// can look the same from outside.
	minFileAge = time.Second
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

// Store is the set that this process goes by. Where Path is set the file there decides, for this process and any other of the same
// sidecar, and outlives them. It is safe for concurrent use.
type Store struct {
	Path string // "" = the set is kept by this process alone

	// BeforeStep, if set, is called before each step on a file, and its error is the step's: a test's way to a disk that fails.
	BeforeStep func(step Step, path string) error

	mu       sync.Mutex
	current  Set
	seenFile fs.FileInfo // that current was read from or written to; nil = there was none
	seenAt   time.Time   // when it was first seen
	content  []byte      // what was in it
}

// storedFile is the file's content.
type storedFile struct {
	Version int `json:"version"`
	Set
}

// ErrMalformedFile says that the file was read and is none of this program's. Any other error is of the disk, which may be back soon.
var ErrMalformedFile = errors.New("malformed cordon file")

// Read takes over the file's set, if it has changed, and returns the set, and whether it is another one. After an error the set remains as
// it was, as it does while there is no file.
func (s *Store) Read() (set Set, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err = s.refresh()
	return s.current.Clone(), changed, err
}

// refresh takes over the file's set.
func (s *Store) refresh() (changed bool, err error) {
	if s.Path == "" {
		return false, nil
	}
	content, changed, err := s.readFile()
	if err != nil {
		return false, fmt.Errorf("cordon file: %w", err)
	}
	if !changed {
		return false, nil
	}
	s.content = content // also a malformed one, so that it is reported once
	set, err := s.parse(content)
	if err != nil {
		return false, err
	}
	s.current = set
	return true, nil
}

// readFile returns the file's content, and whether it has changed since it was last read or written.
func (s *Store) readFile() (content []byte, changed bool, err error) {
	var f *os.File
	err = s.runStep(StepOpen, s.Path, func() error {
		f, err = os.Open(s.Path)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	same := s.seenFile != nil && os.SameFile(s.seenFile, info) && s.seenFile.ModTime().Equal(info.ModTime())
	if same && time.Since(s.seenAt) > minFileAge {
		return nil, false, nil
	}
	err = s.runStep(StepRead, s.Path, func() error {
		content, err = io.ReadAll(io.LimitReader(f, maxFileBytes))
		return err
	})
	if err != nil {
		return nil, false, err
	}
	if !same {
		s.rememberFile(info)
	}
	return content, s.content == nil || !bytes.Equal(content, s.content), nil
}

// parse returns the set that a file of that content has.
func (s *Store) parse(content []byte) (Set, error) {
	var stored storedFile
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(content, &stored); err != nil {
		return Set{}, fmt.Errorf("%w: %s: %w; remove the file, or disable the servers again", ErrMalformedFile, s.Path, err)
	}
	if stored.Version != fileVersion {
		return Set{}, fmt.Errorf("%w: %s: version %d, this program knows %d; disable the servers again", ErrMalformedFile, s.Path,
			stored.Version, fileVersion)
	}
	return stored.Set, nil
}

// Update applies change to the set, as all processes know it, and keeps the result, whole or not at all. After an error nothing has
// changed.
func (s *Store) Update(change func(*Set) error) (Set, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Path != "" {
		lock, err := s.lock()
		if err != nil {
			return Set{}, fmt.Errorf("cordon file: %w", err)
		}
		defer lock.Close()
		// A malformed file is about to be replaced. One that can't be read may have what operators asked of another process.
		if _, err := s.refresh(); err != nil && !errors.Is(err, ErrMalformedFile) {
			return Set{}, err
		}
	}
	next := s.current.Clone()
	if err := change(&next); err != nil {
		return Set{}, err
	}
	if s.Path != "" {
		if err := s.write(next); err != nil {
			return Set{}, fmt.Errorf("cordon file: %w", err)
		}
	}
	s.current = next
	return next.Clone(), nil
}

// runStep is one access to the file.
func (s *Store) runStep(step Step, path string, access func() error) error {
	if s.BeforeStep != nil {
		if err := s.BeforeStep(step, path); err != nil {
			return &fs.PathError{Op: string(step), Path: path, Err: err}
		}
	}
	return access()
}

// lock waits until no other process writes, which takes one small write, and keeps others from it until the file is closed.
func (s *Store) lock() (f *os.File, err error) {
	path := s.Path + ".lock"
	return transient.Interrupted(func() (*os.File, error) {
		err := s.runStep(StepLock, path, func() error {
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

// write replaces the file.
func (s *Store) write(set Set) error {
	content, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(storedFile{fileVersion, set})
	if err != nil {
		return err
	}
	next := s.Path + ".next" // one writer at a time holds the lock
	info, err := s.writeFile(next, content)
	if err != nil {
		return err
	}
	if err := s.runStep(StepRename, s.Path, func() error { return os.Rename(next, s.Path) }); err != nil {
		return err
	}
	s.rememberFile(info)
	s.content = content
	return nil
}

// writeFile writes a file, and returns once the disk has it.
func (s *Store) writeFile(path string, content []byte) (info fs.FileInfo, err error) {
	var f *os.File
	err = s.runStep(StepWrite, path, func() error {
		if f, err = os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600); err == nil {
			_, err = f.Write(content)
		}
		return err
	})
	if f == nil {
		return nil, err
	}
	if err == nil {
		err = s.runStep(StepSync, path, f.Sync)
	}
	if err == nil {
		info, err = f.Stat()
	}
	return info, errors.Join(err, f.Close())
}

// rememberFile notes which file was read or written.
func (s *Store) rememberFile(info fs.FileInfo) {
	s.seenFile = info
	s.seenAt = time.Now()
}

// Watch calls changed when another process has written a set, and failed with what keeps it from being read, once for each such error in
// a row, until ctx ends.
func (s *Store) Watch(ctx context.Context, changed func(), failed func(error)) {
	if s.Path == "" {
		return
	}
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	lastFailure := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, isNew, err := s.Read()
		switch {
		case err == nil:
			lastFailure = ""
		case err.Error() != lastFailure:
			lastFailure = err.Error()
			failed(err)
		}
		if isNew {
			changed()
		}
	}
}
