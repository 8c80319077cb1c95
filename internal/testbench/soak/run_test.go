package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"plankrouter/internal/testbench/recovery"
)

func TestMain(m *testing.M) {
	if err := recovery.AdoptOrphans(); err != nil { // successors become orphans once their predecessor has exited
		fmt.Println(err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestShortSoak executes some short runs, over a minute in all: two with all kinds of fault, the others with those around
// the shutdown of processes, with short and long deadlines and with many clients. The time limits are wide, since the
// machine may be busy with other tests; all other rules are as in a full soak.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "plankrouter")
	build := exec.Command("go", "build", "-tags", "faultinjection", "-o", program, "plankrouter/cmd/plankrouter")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ends := []Kind{ShutdownFaults, DisconnectDuringStall, SlowConnects, Reload, CutAnswers}
	for _, run := range []struct {
		seed uint64
		only []Kind
	}{{1, nil}, {2, nil}, {8, ends}, {12, ends}, {14, ends}} {
		report, err := Run(t.Context(), Options{
			Program: program, Dir: t.TempDir(), Seed: run.seed, Sidecars: 4, Servers: 5, Rate: 15,
			For: 12 * time.Second, Only: run.only, Slack: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if report.Served == 0 || len(report.Faults) == 0 {
			t.Errorf("seed %d: nothing served or no fault injected: %+v", run.seed, report)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", run.seed, v)
		}
	}
}

func TestOptions(t *testing.T) {
	good := Options{Sidecars: 4, Servers: 4, Rate: 10, For: 10 * time.Second}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no sidecar": func(o *Options) { o.Sidecars = 0 }, "too many": func(o *Options) { o.Sidecars = 41 },
		"two servers": func(o *Options) { o.Servers = 2 }, "no load": func(o *Options) { o.Rate = 0 },
		"no time": func(o *Options) { o.For = time.Second },
	} {
		o := good
		if change(&o); o.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
