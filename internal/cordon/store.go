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

	// PollInterval bounds how long it takes a process to apply a cordon that operators requested from another process. It is well
	// within a drain's grace.
	PollInterval = 50 * time.Millisecond

	// minFileAge is the time after first seeing a file from which equal attributes prove that it has not changed: two files that
	// are written at the same moment can have the same attributes.
	minFileAge = time.Second
)

// Step is one operation of an access to the file.
type Step string

// The steps of reading, locking and replacing the file.
const (
	StepOpen   Step = "open"
	StepRead   Step = "read"
	StepLock   Step = "lock"
	StepWrite  Step = "write"
	StepSync   Step = "sync"
	StepRename Step = "rename"
)

// Store holds the set that this process applies. With Path set, the file there is authoritative for all processes of the same
// sidecar, and persists after they end. It is safe for concurrent use.
type Store struct {
	Path string // "" = the set is held in the memory of this process alone

	// BeforeStep, if not nil, is called before each step on a file and its error is returned as that of the step. Tests inject
	// faults with it.
	BeforeStep func(step Step, path string) error

	mu       sync.Mutex
	current  Set
	seenFile fs.FileInfo // the file that current was last read from or written to; nil = none yet
	seenAt   time.Time   // when seenFile was first seen
	content  []byte      // content of seenFile
}

// storedFile is the JSON content of the file.
type storedFile struct {
	Version int `json:"version"`
	Set
}

// ErrMalformedFile is returned for a file whose content is not in the format of this program. Any other error is a disk
// fault, which may be temporary.
var ErrMalformedFile = errors.New("malformed cordon file")

// Read loads the set from the file if that has changed, and returns the set and whether it was loaded. After an error, and
// while there is no file, the set stays as it was.
func (s *Store) Read() (set Set, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err = s.refresh()
	return s.current.Clone(), changed, err
}

// refresh loads the set from the file if that has changed, and reports whether it did.
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
	s.content = content // even if malformed, so that the error is reported once
	set, err := s.parse(content)
	if err != nil {
		return false, err
	}
	s.current = set
	return true, nil
}

// readFile returns the content of the file and whether that has changed since it was last read or written.
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

// parse decodes the content of the file.
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

// Update reads the current set, applies change to it, stores the result atomically and returns it. After an error the stored
// set is unchanged.
func (s *Store) Update(change func(*Set) error) (Set, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Path != "" {
		lock, err := s.lock()
		if err != nil {
			return Set{}, fmt.Errorf("cordon file: %w", err)
		}
		defer lock.Close()
		// A malformed file does not prevent the update, which replaces it. An unreadable one does: it may contain cordons
		// that operators requested from another process.
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

// runStep runs one step of an access to the file at path.
func (s *Store) runStep(step Step, path string, access func() error) error {
	if s.BeforeStep != nil {
		if err := s.BeforeStep(step, path); err != nil {
			return &fs.PathError{Op: string(step), Path: path, Err: err}
		}
	}
	return access()
}

// lock waits until no other process writes the file, which takes as long as one small write. It locks others out until the
// returned file is closed.
func (s *Store) lock() (f *os.File, err error) {
	path := s.Path + ".lock"
	return transient.RetryInterrupted(func() (*os.File, error) {
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

// write replaces the file atomically by one that contains set.
func (s *Store) write(set Set) error {
	content, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(storedFile{fileVersion, set})
	if err != nil {
		return err
	}
	next := s.Path + ".next" // the lock permits one writer at a time
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

// writeFile writes a file, syncs it to disk and returns its attributes.
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

// rememberFile records the attributes of the file that was read or written.
func (s *Store) rememberFile(info fs.FileInfo) {
	s.seenFile = info
	s.seenAt = time.Now()
}

// Watch polls the file until ctx is done. It calls changed when another process has written a set, and failed when reading
// fails, unless the previous read failed with the same error.
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
		_, updated, err := s.Read()
		switch {
		case err == nil:
			lastFailure = ""
		case err.Error() != lastFailure:
			lastFailure = err.Error()
			failed(err)
		}
		if updated {
			changed()
		}
	}
}
