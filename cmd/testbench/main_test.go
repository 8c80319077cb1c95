package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestArguments(t *testing.T) {
	here, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	recorded := "at_s,class,tenant,method,path,size,key\n0.5,tile,,GET,/tile/1,0,\n"
	for name, text := range map[string]string{"recorded.csv": recorded, "playback.json": `{"for_s": 1,
		"classes": [{"name": "tile", "aim_ms": 100, "deadline_ms": 200}], "trace": {"file": "recorded.csv"}}`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"--help", 0, "handover"},
		{"recover --help", 0, "directory-down"},
		{"", exitUsage, "recover"},
		{"recover --program /nowhere", exitUsage, "/nowhere"},
		{"recover --program HERE --seeds 0", exitUsage, "--seeds"},
		{"recover --program HERE --scenario tea", exitUsage, `"tea"`},
		{"recover --program HERE --rate 1", exitUsage, "rate"},
		{"handover --program HERE --restarts 0", exitUsage, "restarts"},
		{"handover --program HERE --kill me", exitUsage, "--kill"},
		{"load --help", 0, "evening.json"},
		{"load", exitUsage, "--rate"},
		{"load --rate 5 --to x", exitUsage, "--for"},
		{"load --rate 5 --for 1s --to x", exitUsage, "HOST:PORT"},
		{"load --rate 5 --for 1s --trace x.csv --json x", exitUsage, "--to"},
		{"load DIR/playback.json --trace DIR/recorded.csv", exitUsage, "recorded.csv"},
		{"load DIR/playback.json --to a:1 --json DIR/playback.json", exitUsage, "playback.json"},
		{"load nofile --to a:1", exitUsage, "nofile"},
		{"emulate --trouble tea", exitUsage, `"tea"`},
		{"emulate --for 0s", exitUsage, "seconds"},
		{"emulate --against-with least --csv x", exitUsage, "--csv"},
		{"capacity --help", 0, "--quick"},
		{"capacity --program /nowhere", exitUsage, "/nowhere"},
		{"capacity --program HERE --most 0s", exitUsage, "--most"},
		{"fleet-scenes --help", 0, "on_request"},
		{"fleet-scenes --kind tea", exitUsage, "tea"},
		{"fleet-scenes --scene tea", exitUsage, `"tea"`},
		{"fleet-scenes --servers 3", exitUsage, "--servers"},
		{"fleet-scenes --sidecars 0 --watch DIR/playback.json", exitBroken, "plankrouter.watch"},
		{"overload --help", 0, "swell"},
		{"overload --events tea", exitUsage, `"tea"`},
		{"overload --reports some", exitUsage, "[none queued full]"},
		{"overload --servers 20000", exitUsage, "servers"},
		{"overload --policy tea", exitUsage, `"tea"`},
		{"handover --program HERE --keep /dev/null/x", exitBroken, "/dev/null"},
	} {
		var out bytes.Buffer
		args := strings.Fields(strings.NewReplacer("HERE", here, "DIR", dir).Replace(test.args))
		if code := run(args, &out, &out); code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("testbench %s: exit code %d, want %d; output %s", test.args, code, test.code, out.String())
		}
	}
	if left, err := os.ReadFile(filepath.Join(dir, "recorded.csv")); err != nil || string(left) != recorded {
		t.Errorf("the input trace was overwritten: %q, %v", left, err)
	}
}
