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
	if err := s.Cordon("a", 1, false); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("an unknown id: %v", err)
	}
	if err := errors.Join(s.Cordon("a", 1, true), s.Cordon("a", 2, true), s.Cordon("b", 3, true)); err != nil {
		t.Error(err)
	}
	before := s.Clone()
	if err := s.Uncordon("a", 9, false); err != nil { // cordoned, and no longer listed
		t.Error(err)
	}
	if err := s.Uncordon("c", 9, true); err != nil { // never cordoned
		t.Error(err)
	}
	if err := s.Uncordon("c", 9, false); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("an unknown id: %v", err)
	}
	if diff := cmp.Diff(Set{Cordoned: map[string]float64{"b": 3}, Uncordoned: map[string]float64{"a": 9}}, s); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a"}, before.ChangedIDs(s)); diff != "" {
		t.Error(diff)
	}
	for i := range 2 * maxUncordoned {
		id := strings.Repeat("x", i+1)
		date := float64(10 + i)
		if err := errors.Join(s.Cordon(id, date, true), s.Uncordon(id, date, true)); err != nil {
			t.Fatal(err)
		}
	}
	if _, early := s.Uncordoned["x"]; len(s.Uncordoned) != maxUncordoned || early {
		t.Errorf("%d uncordoned servers are kept", len(s.Uncordoned))
	}
}

// All processes apply the set in the file, a malformed file is not applied in part, and a set that cannot be stored is not in
// force.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans.json")
	one, two := &Store{Path: path}, &Store{Path: path}
	var writers sync.WaitGroup
	for i, store := range []*Store{one, two} {
		writers.Go(func() {
			for n := range 50 {
				id := string(rune('a'+i)) + strings.Repeat("x", n)
				if _, err := store.Update(func(s *Set) error { return s.Cordon(id, 1, true) }); err != nil {
					t.Error(err)
				}
			}
		})
	}
	writers.Wait()
	if set, _, err := one.Read(); err != nil || len(set.Cordoned) != 100 {
		t.Fatalf("%d cordoned, %v", len(set.Cordoned), err)
	}
	if _, changed, err := one.Read(); changed || err != nil {
		t.Errorf("read twice: %t, %v", changed, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	changed := make(chan bool, 1)
	go one.Watch(ctx, func() { changed <- true }, func(err error) { t.Error(err) })
	if _, err := two.Update(func(s *Set) error { return s.Uncordon("a", 7, true) }); err != nil {
		t.Error(err)
	}
	<-changed
	cancel()
	if set, _, _ := one.Read(); len(set.Cordoned) != 99 || set.Uncordoned["a"] != 7 {
		t.Errorf("%d cordoned, uncordoned %v", len(set.Cordoned), set.Uncordoned)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, malformed := range []string{"", string(content[:len(content)/2]), strings.Replace(string(content), `"version":1`, `"version":2`, 1)} {
		if err := os.WriteFile(path, []byte(malformed), 0o600); err != nil {
			t.Fatal(err)
		}
		fresh := &Store{Path: path}
		if set, changed, err := fresh.Read(); !errors.Is(err, ErrMalformedFile) || changed || len(set.Cordoned) > 0 || !strings.Contains(err.Error(), path) {
			t.Errorf("%.40q: %v, %v", malformed, set.Cordoned, err)
		}
		if set, err := fresh.Update(func(s *Set) error { return s.Cordon("z", 1, true) }); err != nil || len(set.Cordoned) != 1 {
			t.Errorf("after %.40q: %v, %v", malformed, set.Cordoned, err)
		}
	}
	unwritable := &Store{Path: filepath.Join(t.TempDir(), "missing", "bans.json")}
	if _, err := unwritable.Update(func(s *Set) error { return s.Cordon("a", 1, true) }); err == nil {
		t.Error("a set that cannot be stored is in force")
	} else if set, _, err := unwritable.Read(); len(set.Cordoned) > 0 || err != nil {
		t.Errorf("after that: %v, %v", set.Cordoned, err)
	}
}
