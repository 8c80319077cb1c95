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

var update = flag.Bool("update", false, "record what the sides do as what they should do")

// maxParallel is how many scenarios are played at a time: they wait for their gates and for the daemon's end, and hardly
// ever for the processor.
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

// sides are the two, in the order of the table.
var sides = []string{"daemon", "library"}

// TestConformance plays every scenario against both sides and prints the table of their outcomes.
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
			plays, err := f.plays()
			must(t, err)
			for _, s := range plays {
				row := table.add(strings.TrimSuffix(filepath.Base(f.path), ".txt")+"/"+s.name, s)
				t.Run(row.name, func(t *testing.T) {
					if !s.has("alone") { // those run before all others
						t.Parallel()
					}
					row.play(t, network)
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
	verdict  string              // "" = it was not played
}

// play plays the scenario on both sides: together, or one after the other if it is alone.
func (r *row) play(t *testing.T, network fakes.Network) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	r.got, r.verdict = map[string][]string{}, "same"
	for _, side := range sides {
		one := func() {
			got, err := playOn(t, side, r.scenario, network)
			mu.Lock()
			defer mu.Unlock()
			if r.got[side] = got; err != nil {
				t.Errorf("%s: %v", side, err)
				r.verdict = "ERROR"
			}
		}
		if r.scenario.has("alone") {
			one()
		} else {
			wait.Go(one)
		}
	}
	wait.Wait()
	if r.verdict != "same" {
		return
	}
	if *update && len(r.scenario.known) == 0 && !r.scenario.generated { // what is right of these is written by hand
		r.scenario.want = merge(r.got["daemon"], r.got["library"])
	}
	for _, side := range sides {
		want := r.scenario.wanted(side)
		diff := cmp.Diff(want, r.got[side])
		known := r.scenario.known[side]
		if len(want) != len(r.scenario.want) && r.verdict == "same" {
			r.verdict = "by design"
		}
		switch {
		case diff == "" && known != "":
			r.verdict = "MENDED"
			t.Errorf("%s: it is as the file says: take out the line \"known %s %s\"", side, side, known)
		case diff != "" && known != "":
			if r.verdict != "DIFFERS" {
				r.verdict = "known defect"
			}
			t.Logf("%s: known: %s: as the file says (-), as played (+):\n%s", side, known, diff)
		case diff != "":
			r.verdict = "DIFFERS"
			t.Errorf("%s: as the file says (-), as played (+):\n%s", side, diff)
		}
	}
}

// playOn plays the scenario on one side.
func playOn(t *testing.T, side string, s *scenario, network fakes.Network) ([]string, error) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if side == "library" {
		before := goleak.IgnoreCurrent()
		got, err := newPlayer(ctx, s, &library{ctx: ctx}, network, t.TempDir()).play()
		if err == nil && s.has("alone") {
			err = goleak.Find(before)
		}
		return got, err
	}
	d := &daemon{ctx: ctx}
	got, err := newPlayer(ctx, s, d, network, t.TempDir()).play()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the daemon's log:\n%s", d.tail())
		}
	})
	return got, err
}

// unknown takes out of a line what the daemon can't tell.
var unknown = strings.NewReplacer(" (may have run)", "", " (not run)", "")

// wanted is what the file says of a side: the lines of both, and those that begin with its name.
func (s *scenario) wanted(side string) (lines []string) {
	for _, line := range s.want {
		of, rest, is := strings.Cut(line, ": ")
		switch {
		case is && of == side:
			line = rest
		case is && (of == "daemon" || of == "library"):
			continue
		}
		if side == "daemon" {
			line = unknown.Replace(line)
		}
		lines = append(lines, line)
	}
	return lines
}

// merge is the reverse of wanted.
func merge(daemon, library []string) (lines []string) {
	for len(daemon) > 0 || len(library) > 0 {
		switch {
		case len(daemon) > 0 && len(library) > 0 && daemon[0] == unknown.Replace(library[0]):
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

// table is all scenarios that were played.
type table struct{ rows []*row }

func (t *table) add(name string, s *scenario) *row {
	r := &row{name: name, scenario: s}
	t.rows = append(t.rows, r)
	return r
}

func (t *table) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	n := map[string]int{}
	fmt.Fprintf(w, "\nscenario\tdaemon\tlibrary\tverdict\n")
	for _, r := range t.rows {
		if r.verdict == "" {
			continue
		}
		n[r.verdict]++
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.name, brief(r.got["daemon"]), brief(r.got["library"]), r.verdict)
	}
	if err := w.Flush(); err != nil {
		return err.Error()
	}
	fmt.Fprintf(&b, "scenarios: %v\n", n)
	return b.String()
}

// brief words an outcome in one line: what became of the requests, without bodies, and the number of attempts.
func brief(lines []string) string {
	var all []string
	for _, line := range lines {
		before, _, _ := strings.Cut(line, ` "`)
		name, saw, is := strings.Cut(line, " saw ")
		switch {
		case strings.HasPrefix(line, "orders run"):
		case !is:
			all = append(all, before)
		case saw != "nothing":
			n := 0
			for one := range strings.SplitSeq(saw, ", ") {
				_, many, _ := strings.Cut(strings.Fields(one)[0], "*")
				more, _ := strconv.Atoi(many)
				n += max(1, more)
			}
			all = append(all, fmt.Sprintf("%s: %d", name, n))
		}
	}
	return strings.Join(all, "; ")
}
