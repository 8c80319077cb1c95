package peers

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	Program  string // path of the sidecar's program
	Dir      string // an existing folder for the configuration and the log
	MemoryMB int    // the sidecar's memory limit
	Sockets  int    // the sidecar's limit on sockets
	Clients  int    // number of troublesome clients, where a scenario has many
	For      time.Duration
	Keep     bool // log every attempt
}

// Result is what a scenario observed.
type Result struct {
	Counts     map[string]int // outcomes of the scenario's own requests, by name
	Neighbour  Tally          // what an ordinary client got meanwhile
	PeakMB     float64        // highest resident memory of the sidecar
	Violations []string
}

// scenario is one kind of trouble.
type scenario struct {
	what string
	run  func(ctx context.Context, r *rig) (map[string]int, []string)
	// replaces reports whether the scenario replaces the sidecar's first process.
	replaces bool
	// neighbour reports whether an ordinary client sends requests meanwhile.
	neighbour bool
}

// scenarios returns all scenarios by name.
func scenarios() map[string]scenario {
	all := map[string]scenario{}
	for _, group := range []map[string]scenario{longAnswers(), crowds(), floods(), repeats(), addresses(), slowReaders()} {
		maps.Copy(all, group)
	}
	return all
}

// Names returns the names of all scenarios, sorted.
func Names() []string { return slices.Sorted(maps.Keys(scenarios())) }

// Run runs the scenario with the given name.
func Run(ctx context.Context, name string, o Options) (*Result, error) {
	s, known := scenarios()[name]
	if !known {
		return nil, fmt.Errorf("scenario: %q; want one of %s", name, strings.Join(Names(), ", "))
	}
	r, err := build(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close()
	out := &Result{}
	around, stop := context.WithCancel(ctx)
	defer stop()
	r.running.Go(func() { r.sampleMemory(around) })
	if s.neighbour {
		r.running.Go(func() { r.neighbour(around) })
	}
	out.Counts, out.Violations = s.run(ctx, r)
	stop()
	r.running.Wait()
	out.Neighbour, out.PeakMB = r.tally, r.peakMB()
	if r.hasExited() && !s.replaces {
		out.Violations = append(out.Violations, "the sidecar has exited")
	}
	return out, ctx.Err()
}

// Write writes the result as text.
func (r *Result) Write(to io.Writer, name string) {
	fmt.Fprintf(to, "%s:", name)
	for _, key := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(to, " %s=%d", key, r.Counts[key])
	}
	fmt.Fprintf(to, "; peak %.0f MB; %s\n", r.PeakMB, &r.Neighbour)
	const most = 5
	for i, v := range r.Violations {
		if i == most {
			fmt.Fprintf(to, "  and %d more\n", len(r.Violations)-most)
			break
		}
		fmt.Fprintf(to, "  BROKEN %s\n", v)
	}
}
