package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestGoldenSnapshot checks that a snapshot written by an earlier version is decoded in full and encoded to the same bytes.
func TestGoldenSnapshot(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "golden.snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "decoded", largeFleet(3, 2), decoded)
	written, err := Encode(decoded, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("encoded again as %x, stored as %x", written, stored)
	}
}
