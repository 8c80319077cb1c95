package keepalive

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestGoldenState checks that a state written by an earlier version is taken in full and that this version writes the same bytes.
func TestGoldenState(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "golden.state"))
	if err != nil {
		t.Fatal(err)
	}
	restored := newEstimator(t)
	if err := restored.Restore(began, stored, 0); err != nil {
		t.Fatal(err)
	}
	written, err := restored.State(began)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("written again as %x, stored as %x", written, stored)
	}
	if restored.ShouldReuse(began, Use{"b", 200 * ms, 3}, order) {
		t.Error("a connection that breaks often after such a pause is used for an order")
	}
}
