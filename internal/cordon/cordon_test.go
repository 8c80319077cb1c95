package cordon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSet(t *testing.T) {
	var s Set
	if err := s.Disable("a", 1, false); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown id: %v", err)
	}
	if err := errors.Join(s.Disable("a", 1, true), s.Disable("a", 2, true), s.Disable("b", 3, true)); err != nil {
		t.Error(err)
	}
	before := s.Clone()
	if err := s.Enable("a", 9, false); err != nil { // out, and listed no more
		t.Error(err)
	}
	if err := s.Enable("c", 9, true); err != nil { // never out
		t.Error(err)
	}
	if err := s.Enable("c", 9, false); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown id: %v", err)
	}
	if diff := cmp.Diff(Set{Out: map[string]float64{"b": 3}, Back: map[string]float64{"a": 9}}, s); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a"}, before.Changed(s)); diff != "" {
		t.Error(diff)
	}
	for i := range 2 * mostBack {
		id := strings.Repeat("x", i+1)
		if err := errors.Join(s.Disable(id, float64(10+i), true), s.Enable(id, float64(10+i), true)); err != nil {
			t.Fatal(err)
		}
	}
	if _, early := s.Back["x"]; len(s.Back) != mostBack || early {
		t.Errorf("%d returns are kept", len(s.Back))
	}
}

// The file is the truth for all processes: whole or not at all, whatever is in it.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans.json")
	one, two := &Store{Path: path}, &Store{Path: path}
	var both sync.WaitGroup
	for i, s := range []*Store{one, two} {
		both.Go(func() {
			for n := range 50 {
				id := string(rune('a'+i)) + strings.Repeat("x", n)
				if _, err := s.Change(func(s *Set) error { return s.Disable(id, 1, true) }); err != nil {
					t.Error(err)
				}
			}
		})
	}
	both.Wait()
	if set, _, err := one.Read(); err != nil || len(set.Out) != 100 {
		t.Fatalf("%d out, %v", len(set.Out), err)
	}
	if _, changed, err := one.Read(); changed || err != nil {
		t.Errorf("read twice: %t, %v", changed, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	told := make(chan bool, 1)
	go one.Watch(ctx, func() { told <- true }, func(err error) { t.Error(err) })
	if _, err := two.Change(func(s *Set) error { return s.Enable("a", 7, true) }); err != nil {
		t.Error(err)
	}
	<-told
	cancel()
	if set, _, _ := one.Read(); len(set.Out) != 99 || set.Back["a"] != 7 {
		t.Errorf("%d out, back %v", len(set.Out), set.Back)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", string(whole[:len(whole)/2]), strings.Replace(string(whole), `"version":1`, `"version":2`, 1)} {
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		fresh := &Store{Path: path}
		if set, changed, err := fresh.Read(); err == nil || changed || len(set.Out) > 0 || !strings.Contains(err.Error(), path) {
			t.Errorf("%.40q: %v, %v", bad, set.Out, err)
		}
		if set, err := fresh.Change(func(s *Set) error { return s.Disable("z", 1, true) }); err != nil || len(set.Out) != 1 {
			t.Errorf("after %.40q: %v, %v", bad, set.Out, err)
		}
	}
	lost := &Store{Path: filepath.Join(t.TempDir(), "nowhere", "bans.json")}
	if _, err := lost.Change(func(s *Set) error { return s.Disable("a", 1, true) }); err == nil {
		t.Error("what can't be kept is not in force")
	} else if set, _, err := lost.Read(); len(set.Out) > 0 || err != nil {
		t.Errorf("after that: %v, %v", set.Out, err)
	}
}
