package cordon

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// failingDisk makes step fail with err the next few times.
type failingDisk struct {
	step  Step
	times int
	err   error
}

func (f *failingDisk) before(step Step, _ string) error {
	if step != f.step || f.times == 0 {
		return nil
	}
	f.times--
	return f.err
}

// cordonInNewFile returns the path of a new file, dated one hour ago, in which the server id is cordoned.
func cordonInNewFile(t *testing.T, id string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "bans.json")
	if _, err := (&Store{Path: path}).Update(func(s *Set) error { return s.Cordon(id, 1, true) }); err != nil {
		t.Fatal(err)
	}
	past := time.Now().Add(-time.Hour)
	if err := os.Chtimes(path, past, past); err != nil {
		t.Fatal(err)
	}
	return path
}

// A cordon that was confirmed to an operator stays in force through disk faults.
func TestCordonsSurviveDiskFaults(t *testing.T) {
	t.Run("read after a disk fault", testReadAfterDiskFault)
	t.Run("update keeps other cordons", testUpdateKeepsOtherCordons)
}

// A process that starts during a disk fault loads the cordons as soon as the fault is over.
func testReadAfterDiskFault(t *testing.T) {
	for _, fault := range []failingDisk{
		{StepOpen, 2, syscall.ENFILE}, {StepOpen, 2, syscall.EIO}, {StepRead, 2, syscall.EIO}, {StepRead, 1, syscall.EINTR},
	} {
		disk := fault
		s := &Store{Path: cordonInNewFile(t, "a"), BeforeStep: disk.before}
		for range fault.times {
			if _, _, err := s.Read(); !errors.Is(err, fault.err) {
				t.Errorf("%s: %v, want %v", fault.step, err, fault.err)
			}
		}
		if set, changed, err := s.Read(); err != nil || !changed || set.Cordoned["a"] != 1 {
			t.Errorf("%s failed %d times with %v: cordoned %v, changed %t, %v", fault.step, fault.times, fault.err, set.Cordoned, changed, err)
		}
	}
}

// An update while the file cannot be read is rejected, because it would overwrite cordons that another process has written.
func testUpdateKeepsOtherCordons(t *testing.T) {
	for _, step := range []Step{StepOpen, StepRead} {
		path := cordonInNewFile(t, "a")
		disk := &failingDisk{step, 1, syscall.EIO}
		s := &Store{Path: path, BeforeStep: disk.before}
		if _, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v, want an I/O error", step, err)
		}
		if set, _, err := (&Store{Path: path}).Read(); err != nil || set.Cordoned["a"] != 1 || set.Cordoned["b"] != 0 {
			t.Errorf("%s: cordoned %v, %v; want a alone", step, set.Cordoned, err)
		}
		if _, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); err != nil {
			t.Errorf("%s, after the fault: %v", step, err)
		}
		if set, _, err := (&Store{Path: path}).Read(); err != nil || set.Cordoned["a"] != 1 || set.Cordoned["b"] != 2 {
			t.Errorf("%s, after the fault: cordoned %v, %v; want both", step, set.Cordoned, err)
		}
	}
}

// A signal that interrupts the wait for another writer does not make the update fail: the wait is resumed.
func TestInterruptedLockIsRetried(t *testing.T) {
	disk := &failingDisk{StepLock, 2, syscall.EINTR}
	s := &Store{Path: cordonInNewFile(t, "a"), BeforeStep: disk.before}
	if set, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); err != nil || set.Cordoned["b"] != 2 {
		t.Errorf("cordoned %v, %v", set.Cordoned, err)
	}
}
