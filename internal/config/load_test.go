package config

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
)

// A file that temporarily can't be opened, for example for lack of descriptors, is read in a later attempt: a SIGHUP is
// sent only once.
func TestLoadRetriesTransientReadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const text = `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"1",
		"settings":{"Discovery":"pushed","RequestClasses":[{"Name":"tile","AimMs":750,"HardLimitMs":2500,"Repeat":"pure"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	getenv := func(key string) string { return map[string]string{"GW_CONFIG": path}[key] }
	original := readFile
	defer func() { readFile = original }()
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.EIO, syscall.EINTR} {
		synctest.Test(t, func(t *testing.T) {
			failures := 3
			readFile = func(path string) ([]byte, error) {
				if failures--; failures >= 0 {
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return original(path)
			}
			if c, err := Load(getenv); err != nil || c.Name != "n1" {
				t.Errorf("%v three times: %v", errno, err)
			}
		})
	}
	calls := 0
	readFile = func(path string) ([]byte, error) {
		calls++
		return original(path)
	}
	getenv = func(key string) string { return map[string]string{"GW_CONFIG": path + "x"}[key] }
	if _, err := Load(getenv); err == nil || calls != 1 {
		t.Errorf("a missing file: %v, read %d times", err, calls)
	}
}
