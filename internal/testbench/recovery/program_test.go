package recovery

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	if err := AdoptOrphans(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestProgram runs the real program, built once. It asserts only rules that hold on a slow machine, too.
func TestProgram(t *testing.T) {
	program := filepath.Join(t.TempDir(), "plankrouter")
	build := exec.Command("go", "build", "-o", program, "plankrouter/cmd/plankrouter")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	setup := func(t *testing.T) Setup {
		return Setup{Program: program, Servers: 4, Rate: 100, Seed: 1, Dir: t.TempDir()}
	}
	t.Run("handovers", func(t *testing.T) {
		t.Parallel()
		got, err := Handovers(t.Context(), HandoverPlan{Setup: setup(t), Restarts: 5})
		if err != nil {
			t.Fatal(err)
		}
		if got.Restarts != 5 || got.Lost != 0 || got.ExtraRuns != 0 || len(got.Broken) > 0 || got.Served == 0 {
			t.Errorf("%+v", got)
		}
	})
	for _, victim := range []KillTarget{Successor, Predecessor} {
		t.Run("killed "+string(victim), func(t *testing.T) {
			t.Parallel()
			plan := HandoverPlan{Setup: setup(t), Restarts: 2, Kill: victim, At: AtStart}
			plan.Seed = 119 // draws a very early kill and a late one
			got, err := Handovers(t.Context(), plan)
			if err != nil {
				t.Fatal(err)
			}
			kills := got.Kills[beforeReady] + got.Kills[whilePassing] + got.Kills[afterDone]
			noSurvivor := map[KillTarget]string{Successor: afterDone, Predecessor: beforeReady} // when a kill leaves no process
			if kills != 2 || got.FreshStarts != got.Kills[noSurvivor[victim]] || got.Lost != got.LostToKill || got.ExtraRuns != 0 ||
				got.Served == 0 {
				t.Errorf("%+v", got)
			}
		})
	}
	t.Run("crash", func(t *testing.T) {
		t.Parallel()
		kill := func(_ context.Context, r *rig) error { return r.processes.main.Kill() }
		got, err := Run(t.Context(), Scenario{Name: "crash", event: kill, after: time.Second}, setup(t))
		if err != nil {
			t.Fatal(err)
		}
		broken := strings.Join(got.Broken, "; ")
		if got.Unreachable == 0 || got.ExtraRuns != 0 || !strings.Contains(broken, "killed") {
			t.Errorf("%+v", got)
		}
	})
}
