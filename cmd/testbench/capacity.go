package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"plankrouter/internal/testbench/capacity"
)

// capacityCommand measures the cost of a sidecar by the size of the deployment.
type capacityCommand struct {
	Program string        `default:"bin/plankrouter" placeholder:"FILE" help:"The sidecar's program."`
	Quick   bool          `help:"Few servers and short windows: takes under a minute, but results are not meaningful."`
	Only    string        `placeholder:"WORDS" help:"Only the sizes whose name contains these words, or module."`
	Core    int           `default:"-1" help:"Pin the sidecar to this CPU core, for repeatable results; -1 = don't pin."`
	MaxTime time.Duration `name:"most" default:"15m" help:"Stop after this time, and report what was measured until then."`
	Keep    string        `placeholder:"DIR" help:"Keep the sidecars' logs and configurations in this folder."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Also write the results to this file, as JSON."`
}

// Help describes the sweeps.
func (*capacityCommand) Help() string {
	return "Runs one real sidecar with a fake discovery and fake servers, and varies one size at a time: servers in the " +
		"endpoint list, requests, probes by their price, client connections, changes of the list and of the configuration, and starts. " +
		"docs/CAPACITY.md derives the needs of a fleet from the results."
}

// Validate checks the arguments.
func (c *capacityCommand) Validate() error {
	if c.MaxTime <= 0 {
		return fmt.Errorf("--most: %s; want more than 0", c.MaxTime)
	}
	return executable(c.Program)
}

// Run measures and prints the report, a partial one if the measurement was interrupted.
func (c *capacityCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.MaxTime)
	defer cancel()
	outputs := experiment{Keep: c.Keep, JSON: c.JSON}
	dir, done, err := outputs.folder()
	if err != nil {
		return err
	}
	defer done()
	plan := capacity.Full()
	if c.Quick {
		plan = capacity.Quick()
	}
	report, err := capacity.Run(ctx, capacity.Setup{
		Program: c.Program, Dir: dir, Core: c.Core, Only: c.Only,
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}, plan)
	if report == nil {
		return err
	}
	if writeErr := report.Write(out); writeErr != nil {
		return writeErr
	}
	if writeErr := outputs.save(report); writeErr != nil {
		return writeErr
	}
	return err
}
