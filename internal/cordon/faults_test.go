package cordon

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// failing is a disk of which a step fails for the next few times.
type failing struct {
	step  Step
	times int
	err   error
}

func (f *failing) before(step Step, _ string) error {
	if step != f.step || f.times == 0 {
		return nil
	}
	f.times--
	return f.err
}

// out puts a server out, some time ago, in a file of its own.
func out(t *testing.T, id string) (path string) {
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

// Operators were told that a server is out: that holds whatever the disk does meanwhile.
func TestOrdersOutliveAFailingDisk(t *testing.T) {
	t.Run("known once it is back", knownOnceItIsBack)
	t.Run("an order undoes no other", anOrderUndoesNoOther)
}

// A process that starts while the disk fails knows the orders as soon as the disk is back.
func knownOnceItIsBack(t *testing.T) {
	for _, fault := range []failing{
		{StepOpen, 2, syscall.ENFILE}, {StepOpen, 2, syscall.EIO}, {StepRead, 2, syscall.EIO}, {StepRead, 1, syscall.EINTR},
	} {
		disk := fault
		s := &Store{Path: out(t, "a"), BeforeStep: disk.before}
		for range fault.times {
			if _, _, err := s.Read(); !errors.Is(err, fault.err) {
				t.Errorf("%s: %v, want %v", fault.step, err, fault.err)
			}
		}
		if set, changed, err := s.Read(); err != nil || !changed || set.Cordoned["a"] != 1 {
			t.Errorf("%s failed %d times with %v: out %v, changed %t, %v", fault.step, fault.times, fault.err, set.Cordoned, changed, err)
		}
	}
}

// An order that comes while the file can't be read is refused: written over what another process was told, it would undo that.
func anOrderUndoesNoOther(t *testing.T) {
	for _, step := range []Step{StepOpen, StepRead} {
		path := out(t, "a")
		disk := &failing{step, 1, syscall.EIO}
		s := &Store{Path: path, BeforeStep: disk.before}
		if _, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v, want an I/O error", step, err)
		}
		if set, _, err := (&Store{Path: path}).Read(); err != nil || set.Cordoned["a"] != 1 || set.Cordoned["b"] != 0 {
			t.Errorf("%s: out %v, %v; want a alone", step, set.Cordoned, err)
		}
		if _, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); err != nil {
			t.Errorf("%s, once the disk is back: %v", step, err)
		}
		if set, _, err := (&Store{Path: path}).Read(); err != nil || set.Cordoned["a"] != 1 || set.Cordoned["b"] != 2 {
			t.Errorf("%s, once the disk is back: out %v, %v; want both", step, set.Cordoned, err)
		}
	}
}

// A wait for another writer that a signal interrupts is taken up again: the order is not refused.
func TestInterruptedLock(t *testing.T) {
	disk := &failing{StepLock, 2, syscall.EINTR}
	s := &Store{Path: out(t, "a"), BeforeStep: disk.before}
	if set, err := s.Update(func(s *Set) error { return s.Cordon("b", 2, true) }); err != nil || set.Cordoned["b"] != 2 {
		t.Errorf("out %v, %v", set.Cordoned, err)
	}
}
