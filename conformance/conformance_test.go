package conformance

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"plankrouter/internal/testbench/fakes"
)

var update = flag.Bool("update", false, "replace the recorded outcomes by those of this run")

// maxParallel is the number of scenarios that run at a time. They mostly wait, for held requests and for the daemon's end, and
// use little CPU.
const maxParallel = 8

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", strconv.Itoa(maxParallel)); err != nil {
		panic(err)
	}
	code := m.Run()
	if programDir != "" {
		if err := os.RemoveAll(programDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// sides are the names of the two implementations that every scenario runs against, in the order of the table.
var sides = []string{"daemon", "library"}

// TestConformance runs every scenario against both sides and logs a table of the outcomes.
func TestConformance(t *testing.T) {
	scripts, err := readScripts()
	if err != nil {
		t.Fatal(err)
	}
	t.Run("table", func(t *testing.T) {
		var table table
		t.Cleanup(func() { t.Log(table.String()) })
		if *update {
			t.Cleanup(func() {
				for _, f := range scripts {
					if err := f.write(); err != nil {
						t.Error(err)
					}
				}
			})
		}
		network := fakes.Loopback()
		for _, f := range scripts {
			expanded, err := f.expand()
			must(t, err)
			for _, s := range expanded {
				row := table.add(strings.TrimSuffix(filepath.Base(f.path), ".txt")+"/"+s.name, s)
				t.Run(row.name, func(t *testing.T) {
					if !s.has("alone") { // scenarios that are alone run before all others
						t.Parallel()
					}
					row.run(t, network)
				})
			}
		}
	})
}

// row is a scenario's line in the table.
type row struct {
	name     string
	scenario *scenario
	got      map[string][]string // by side
	verdict  string              // "" = not run
}

// run runs the scenario on both sides: concurrently, or one after the other if it is alone.
func (r *row) run(t *testing.T, network fakes.Network) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	r.got, r.verdict = map[string][]string{}, "same"
	for _, side := range sides {
		runSide := func() {
			got, err := runOn(t, side, r.scenario, network)
			mu.Lock()
			defer mu.Unlock()
			if r.got[side] = got; err != nil {
				t.Errorf("%s: %v", side, err)
				r.verdict = "ERROR"
			}
		}
		if r.scenario.has("alone") {
			runSide()
		} else {
			wait.Go(runSide)
		}
	}
	wait.Wait()
	if r.verdict != "same" {
		return
	}
	if *update && len(r.scenario.knownDefects) == 0 && !r.scenario.generated { // the others' outcomes are written by hand
		r.scenario.want = merge(r.got["daemon"], r.got["library"])
	}
	for _, side := range sides {
		want := r.scenario.wanted(side)
		diff := cmp.Diff(want, r.got[side])
		known := r.scenario.knownDefects[side]
		if len(want) != len(r.scenario.want) && r.verdict == "same" {
			r.verdict = "by design"
		}
		switch {
		case diff == "" && known != "":
			r.verdict = "MENDED"
			t.Errorf("%s: the outcome matches the file: remove the line \"known %s %s\"", side, side, known)
		case diff != "" && known != "":
			if r.verdict != "DIFFERS" {
				r.verdict = "known defect"
			}
			t.Logf("%s: known defect: %s: recorded outcome (-), actual outcome (+):\n%s", side, known, diff)
		case diff != "":
			r.verdict = "DIFFERS"
			t.Errorf("%s: recorded outcome (-), actual outcome (+):\n%s", side, diff)
		}
	}
}

// runOn runs the scenario on one side and returns its outcome lines.
func runOn(t *testing.T, side string, s *scenario, network fakes.Network) ([]string, error) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if side == "library" {
		before := goleak.IgnoreCurrent()
		got, err := newRunner(ctx, s, &library{ctx: ctx}, network, t.TempDir()).run()
		if err == nil && s.has("alone") {
			err = goleak.Find(before)
		}
		return got, err
	}
	d := &daemon{ctx: ctx}
	got, err := newRunner(ctx, s, d, network, t.TempDir()).run()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the daemon's log:\n%s", d.tail())
		}
	})
	return got, err
}

// libraryOnly removes from an outcome line what the daemon does not report.
var libraryOnly = strings.NewReplacer(" (may have run)", "", " (not run)", "")

// wanted returns the expected outcome of a side: the lines for both sides, and those that begin with its name.
func (s *scenario) wanted(side string) (lines []string) {
	for _, line := range s.want {
		prefix, remainder, hasPrefix := strings.Cut(line, ": ")
		switch {
		case hasPrefix && prefix == side:
			line = remainder
		case hasPrefix && (prefix == "daemon" || prefix == "library"):
			continue
		}
		if side == "daemon" {
			line = libraryOnly.Replace(line)
		}
		lines = append(lines, line)
	}
	return lines
}

// merge returns the outcome lines of a scenario from those of the two sides; it is the inverse of wanted.
func merge(daemon, library []string) (lines []string) {
	for len(daemon) > 0 || len(library) > 0 {
		switch {
		case len(daemon) > 0 && len(library) > 0 && daemon[0] == libraryOnly.Replace(library[0]):
			lines = append(lines, library[0])
			daemon, library = daemon[1:], library[1:]
			continue
		case len(daemon) > 0:
			lines = append(lines, "daemon: "+daemon[0])
			daemon = daemon[1:]
		}
		if len(library) > 0 {
			lines = append(lines, "library: "+library[0])
			library = library[1:]
		}
	}
	return lines
}

// table has a row for each scenario.
type table struct{ rows []*row }

func (t *table) add(name string, s *scenario) *row {
	r := &row{name: name, scenario: s}
	t.rows = append(t.rows, r)
	return r
}

func (t *table) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	counts := map[string]int{}
	fmt.Fprintf(w, "\nscenario\tdaemon\tlibrary\tverdict\n")
	for _, r := range t.rows {
		if r.verdict == "" {
			continue
		}
		counts[r.verdict]++
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.name, brief(r.got["daemon"]), brief(r.got["library"]), r.verdict)
	}
	if err := w.Flush(); err != nil {
		return err.Error()
	}
	fmt.Fprintf(&b, "scenarios: %v\n", counts)
	return b.String()
}

// brief returns an outcome in one line: the outcomes of the requests, without bodies, and each server's number of attempts.
func brief(lines []string) string {
	var all []string
	for _, line := range lines {
		before, _, _ := strings.Cut(line, ` "`)
		name, saw, isServer := strings.Cut(line, " saw ")
		switch {
		case strings.HasPrefix(line, "orders run"):
		case !isServer:
			all = append(all, before)
		case saw != "nothing":
			n := 0
			for attempt := range strings.SplitSeq(saw, ", ") {
				_, count, _ := strings.Cut(strings.Fields(attempt)[0], "*")
				parsed, _ := strconv.Atoi(count)
				n += max(1, parsed)
			}
			all = append(all, fmt.Sprintf("%s: %d", name, n))
		}
	}
	return strings.Join(all, "; ")
}
