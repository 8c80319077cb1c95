package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// In a reload, the discovery address in the file overrides that of the environment, which is as it was at the start of the
// process. An incomplete file is rejected.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.9:1", "GW_NAME": "n7"}
	getenv := func(key string) string { return env[key] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validFile)
	old, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	write(strings.Replace(validFile, `"sockets":512`, `"sockets":600`, 1))
	next, fixed, err := old.Reload(getenv)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"127.0.0.9:1", "127.0.0.1:8500", "n7"}, []string{old.Discovery, next.Discovery, next.Name}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"limits"}, fixed); diff != "" || next.Limits != old.Limits {
		t.Error(diff)
	}

	// A file that is truncated at any byte is rejected, and so is one without any one of its keys, with the key's name.
	complete := strings.TrimRight(validFile, " \n")
	for at := range len(complete) {
		write(complete[:at])
		if _, _, err := old.Reload(getenv); err == nil {
			t.Fatalf("truncated at byte %d of %d, it was accepted", at, len(complete))
		}
	}
	for key := range map[string]bool{
		"discovery": true, "seed": true, "limits": true, "memory_mb": true, "settings": true,
		"RequestClasses": true, "Name": true, "AimMs": true, "HardLimitMs": true, "Repeat": true, "MaxAttempts": true,
		"DrainGraceMs": true, "known": true,
	} {
		if text := strings.ReplaceAll(validFile, `"`+key+`"`, `"was`+key+`"`); text == validFile {
			t.Errorf("%s is not in validFile", key)
		} else if write(text); true {
			if _, _, err := old.Reload(getenv); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("without %s: %v", key, err)
			}
		}
	}
	for _, invalid := range []string{"0", "-1", "1e999", `"many"`, "null", "2.5"} {
		write(strings.Replace(validFile, `"MaxAttempts":3`, `"MaxAttempts":`+invalid, 1))
		if _, _, err := old.Reload(getenv); err == nil || !strings.Contains(err.Error(), "MaxAttempts") {
			t.Errorf("attempts %s: %v", invalid, err)
		}
		if invalid == "2.5" {
			continue
		}
		write(strings.Replace(validFile, `"HardLimitMs":2500`, `"HardLimitMs":`+invalid, 1))
		if _, _, err := old.Reload(getenv); err == nil || !strings.Contains(err.Error(), "HardLimitMs") {
			t.Errorf("deadline %s: %v", invalid, err)
		}
	}
}

// Classes may have different keys and change their order in a reload; each must keep the keys that it had.
func TestReloadOfClassesWithDifferentKeys(t *testing.T) {
	const tile = `{"Name":"tile","AimMs":750,"HardLimitMs":2500,"Repeat":"pure"}`
	const search = `{"Name":"search","AimMs":500,"HardLimitMs":1500,"Repeat":"token","KeyScope":"all","MemorySpanMs":4000}`
	const searchLacksKey = `{"Name":"search","AimMs":500,"HardLimitMs":1500,"Repeat":"token","KeyScope":"all"}`
	const added = `{"Name":"fresh","AimMs":500,"HardLimitMs":1500,"Repeat":"side_effect"}`
	with := func(classes ...string) string { return strings.Replace(validFile, tile, strings.Join(classes, ","), 1) }
	for _, tc := range []struct{ name, before, after, wantErr string }{
		{"unchanged", with(search, tile), with(search, tile), ""},
		{"reordered", with(search, tile), with(tile, search), ""},
		{"one replaced", with(tile, search), with(added, search), ""},
		{"one lacks a key", with(search, tile), with(tile, searchLacksKey), "RequestClasses[1].MemorySpanMs"},
		{"one lacks a key and has moved", with(tile, search), with(searchLacksKey, tile), "RequestClasses[0].MemorySpanMs"},
		{"a new one lacks a key that all others have", with(search), with(search, added), "RequestClasses[1].KeyScope"},
	} {
		old, err := load(t, tc.before, nil)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(tc.after), 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err = old.Reload(func(key string) string { return map[string]string{"GW_CONFIG": path}[key] })
		if (err == nil) != (tc.wantErr == "") || err != nil && !strings.Contains(err.Error(), tc.wantErr) {
			t.Errorf("%s: from %s\nto %s: %v, want %q", tc.name, tc.before, tc.after, err, tc.wantErr)
		}
	}
}
