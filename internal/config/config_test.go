package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"plankrouter/internal/shutdown"
	"plankrouter/internal/watchpolicy"
)

const validFile = `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":100,"sockets":512},"unknown":[{"x":1}],
"known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"SERVING"}]},
"settings":{"Discovery":"pushed","RoundMs":5,"Limits":{"ConnIdleMs":60000,"ConnectTimeoutMs":150,"MaxRetryAfterMs":1200,"MaxAttempts":3},
"Safety":{"DrainGraceMs":700},"RequestClasses":[{"Name":"tile","AimMs":750,"HardLimitMs":2500,"Repeat":"pure"}]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(key string) string {
		if key == "GW_CONFIG" {
			return path
		}
		return env[key]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, validFile, map[string]string{"GW_LISTEN": "127.0.0.2:1"})
	if err != nil {
		t.Fatal(err)
	}
	type loaded struct {
		name, listen, discovery string
		seed                    uint64
		memory, sockets         int
		idle, connect, grace    time.Duration
		revision                uint64
		retryAfter              float64
	}
	got := loaded{
		c.Name, c.Listen, c.Discovery, c.Seed, c.Limits.MemoryMB, c.Limits.Sockets, c.ConnIdle, c.ConnectTimeout,
		c.DrainGrace, c.Known.Revision, c.Policy.MaxRetryAfter,
	}
	want := loaded{
		"n1", "127.0.0.2:1", "127.0.0.1:8500", 0x8c1f30d27a5be964, 100, 512, time.Minute, 150 * time.Millisecond,
		700 * time.Millisecond, 41, 1200,
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(loaded{})); diff != "" {
		t.Error(diff)
	}
	if c.ShutdownSchedule != shutdown.NewSchedule(2500*time.Millisecond, 0) || c.Watch.Wait != watchpolicy.PushedSettings(c.DrainGrace).Wait || c.Watch.DrainGrace != c.DrainGrace || c.SnapshotInterval != defaultSnapshotEvery {
		t.Errorf("without extensions: %+v, %+v", c.ShutdownSchedule, c.Watch)
	}
	c, err = load(t, strings.Replace(validFile, withExtensionKeys("")[0], withExtensionKeys(`"watch":{"wait_ms":100},"stop":{"kill_after_ms":9000}`)[1], 1), nil)
	if err != nil || c.ShutdownSchedule.Kill != 9*time.Second || c.Watch.Wait != 100*time.Millisecond || c.Watch.MinWait != c.Watch.Wait {
		t.Errorf("with extensions: %+v, %+v, %v", c.ShutdownSchedule, c.Watch, err)
	}
	c, err = load(t, strings.NewReplacer(`"memory_mb":100,"sockets":512`, "", `"cores":1.0,`, "", `"ConnIdleMs":60000,`, "").Replace(validFile), nil)
	if err != nil || c.Limits.MemoryMB != defaultMemoryMB || c.Limits.Sockets != defaultSockets || c.ConnIdle != defaultConnIdle {
		t.Errorf("defaults: %+v, %v", c.Limits, err)
	}
}

// withExtensionKeys returns the replacement that adds extension keys to validFile.
func withExtensionKeys(keys string) [2]string {
	return [2]string{`"unknown"`, `"plankrouter":{` + keys + `},"unknown"`}
}

func TestErrorNamesInvalidKey(t *testing.T) {
	for want, swap := range map[string][2]string{
		"GW_CONFIG":                          {`{"name"`, `["name"`},
		"listen:":                            {"127.0.0.1:3000", "127.0.0.1"},
		"discovery:":                         {"127.0.0.1:8500", ""},
		"seed:":                              {"8c1f30d27a5be964", "xyz"},
		"limits.sockets:":                    {`"sockets":512`, `"sockets":3`},
		"limits.memory_mb:":                  {`"memory_mb":100`, `"memory_mb":-1`},
		"known.members[0].host_port:":        {"127.0.0.1:1\"", "nowhere\""},
		"known.members[0].id:":               {"s-1", ""},
		"settings.Discovery:":                {"pushed", "guessed"},
		"settings.Limits.ConnIdleMs:":        {"60000", "-1"},
		"settings.Limits.ConnectTimeoutMs:":  {"150", "0.5"},
		"settings.Safety.DrainGraceMs:":      {"700", "-700"},
		"settings.RequestClasses[0].Name:":   {`"Name":"tile"`, `"Name":""`},
		"settings.RequestClasses[0].Repeat:": {"pure", "perhaps"},
		"settings.RequestClasses[0].AimMs:":  {`"AimMs":750`, `"AimMs":0`},
		"settings.RequestClasses: missing":   {`"RequestClasses"`, `"Others"`},
		"settings: policy: negative":         {`"RoundMs":5`, `"RoundMs":-5`},

		"plankrouter.watch.wait_ms:":           withExtensionKeys(`"watch":{"wait_ms":70000}`),
		"plankrouter.watch.patience_ms:":       withExtensionKeys(`"watch":{"patience_ms":-1}`),
		"plankrouter.watch.least_wait_ms:":     withExtensionKeys(`"watch":{"wait_ms":100,"least_wait_ms":200}`),
		"plankrouter.watch.retry_ms:":          withExtensionKeys(`"watch":{"retry_ms":500,"retry_most_ms":200}`),
		"plankrouter.watch.ask_ms:":            withExtensionKeys(`"watch":{"ask_ms":0.5}`),
		"plankrouter.snapshot.every_ms:":       withExtensionKeys(`"snapshot":{"every_ms":1}`),
		"plankrouter.handover.ready_within_ms": withExtensionKeys(`"handover":{"ready_within_ms":1e12}`),
		"plankrouter.stop.kill_after_ms: 300":  withExtensionKeys(`"stop":{"kill_after_ms":300}`),
		"plankrouter.stop.kill_after_ms: -1":   withExtensionKeys(`"stop":{"kill_after_ms":-1}`),
	} {
		text := strings.Replace(validFile, swap[0], swap[1], 1)
		if _, err := load(t, text, nil); text == validFile || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("without a file: %v", err)
	}
}

// The example configurations in deploy are valid and set extension keys.
func TestDeploymentExamples(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var c Config
		if err := json.Unmarshal(raw, &c); err != nil || c.Extensions == (Extensions{}) {
			t.Errorf("%s: %v", file, err)
		}
		if err := c.checkExtensions(2500 * time.Millisecond); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
