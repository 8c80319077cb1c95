package cordon

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestGoldenFile checks that a file written by an earlier version is read in full and that this version writes the same bytes.
func TestGoldenFile(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "golden.json"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "golden.json")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	store := &Store{Path: path}
	set, changed, err := store.Read()
	if err != nil || !changed {
		t.Fatalf("changed=%t err=%v", changed, err)
	}
	want := Set{
		Cordoned:   map[string]float64{"s-1": 1_800_000_000_000, "s-2": 1_800_000_000_250.5},
		Uncordoned: map[string]float64{"s-3": 1_800_000_000_500},
	}
	if diff := cmp.Diff(want, set); diff != "" {
		t.Error(diff)
	}
	if _, err := store.Update(func(*Set) error { return nil }); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("written again as %s, stored as %s", written, stored)
	}
}
