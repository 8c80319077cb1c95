package keepalive

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestGoldenState checks that a state written by an earlier version is restored in full and encoded to the same bytes.
func TestGoldenState(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "golden.state"))
	if err != nil {
		t.Fatal(err)
	}
	restored := newEstimator(t)
	if err := restored.Restore(startTime, stored, 0); err != nil {
		t.Fatal(err)
	}
	written, err := restored.State(startTime)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("encoded again as %x, stored as %x", written, stored)
	}
	if restored.ShouldReuse(startTime, Use{"b", 200 * ms, 3}, nonIdempotent) {
		t.Error("a non-idempotent request reuses a connection whose idle time often led to breaks")
	}
}
