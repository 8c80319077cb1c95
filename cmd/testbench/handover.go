package main

import (
	"context"
	"io"
	"time"

	"plankrouter/internal/testbench/recovery"
)

// handoverCommand runs a series of hot restarts under load.
type handoverCommand struct {
	experiment
	Program  string        `default:"bin/plankrouter" placeholder:"FILE" help:"The sidecar's program."`
	Restarts int           `default:"200" help:"Number of consecutive hot restarts."`
	Pause    time.Duration `default:"100ms" help:"Pause between two hot restarts."`
	Seed     uint64        `default:"1" help:"Seed of the load, the servers and the times of kills."`
	Kill     string        `enum:",successor,predecessor" default:"" help:"Kill one of the two processes during a hot restart: ${enum}."`
	At       string        `enum:"start,passing" default:"passing" help:"Phase in which it is killed: ${enum}."`
	Nth      int           `default:"2" help:"Kill in every Nth hot restart."`
}

// plan returns the plan for the flags.
func (c *handoverCommand) plan() recovery.HandoverPlan {
	return recovery.HandoverPlan{
		Setup: c.setup(c.Program, c.Seed), Restarts: c.Restarts, Pause: c.Pause,
		Kill: recovery.KillTarget(c.Kill), At: recovery.KillPhase(c.At), Nth: c.Nth,
	}
}

// Validate checks the arguments.
func (c *handoverCommand) Validate() error {
	if err := executable(c.Program); err != nil {
		return err
	}
	return c.plan().Check()
}

// Run runs the plan.
func (c *handoverCommand) Run(ctx context.Context, out io.Writer) error {
	dir, done, err := c.folder()
	if err != nil {
		return err
	}
	defer done()
	plan := c.plan()
	plan.Dir = dir
	report, err := recovery.Handovers(ctx, plan)
	if err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	if err := c.save(report); err != nil {
		return err
	}
	if len(report.Broken) > 0 {
		return errBroken
	}
	return nil
}
