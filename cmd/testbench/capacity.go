package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"plankrouter/internal/testbench/capacity"
)

// capacityCommand measures what a sidecar costs as its world grows.
type capacityCommand struct {
	Program string        `default:"bin/plankrouter" placeholder:"FILE" help:"The sidecar's program."`
	Quick   bool          `help:"Few servers and short windows: under a minute, and no results to go by."`
	Only    string        `placeholder:"WORDS" help:"Only the sizes whose name holds these words, or module."`
	Core    int           `default:"-1" help:"Keep the sidecar to this core of the machine, so that results repeat; -1 = to none."`
	MaxTime time.Duration `name:"most" default:"15m" help:"End after this time, with what there is."`
	Keep    string        `placeholder:"DIR" help:"Keep the sidecars' logs and configurations in this folder."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Write the results to this file, too."`
}

// Help describes the sweeps.
func (*capacityCommand) Help() string {
	return "One real sidecar, between a fake discovery and fake servers that count, with one size changed at a time: servers in the " +
		"list, requests, probes by their price, client connections, changes of the list and of the configuration, and its start. " +
		"docs/CAPACITY.md works the fleet out from the lines."
}

// Validate checks the arguments.
func (c *capacityCommand) Validate() error {
	if c.MaxTime <= 0 {
		return fmt.Errorf("--most: %s; want more than 0", c.MaxTime)
	}
	return executable(c.Program)
}

// Run measures, and prints what there is also where it was cut short.
func (c *capacityCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.MaxTime)
	defer cancel()
	kept := experiment{Keep: c.Keep, JSON: c.JSON}
	dir, done, err := kept.folder()
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
	if wrong := report.Write(out); wrong != nil {
		return wrong
	}
	if wrong := kept.save(report); wrong != nil {
		return wrong
	}
	return err
}
