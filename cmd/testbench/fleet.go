package main

import (
	"io"
	"time"

	"plankrouter/internal/testbench/fleet"
)

// fleetCommand counts over the logs of a fleet.
type fleetCommand struct {
	Dir   string        `arg:"" type:"existingdir" help:"The sidecars' logs, a *.log for each, written with GW_TRACE=1."`
	Every time.Duration `default:"100ms" help:"Stretch in which the most at one server is looked for."`
	Rows  time.Duration `default:"1s" help:"Stretch of a row."`
	Warm  time.Duration `default:"8.1s" help:"Time for which a process is taken to be cold."`
}

// Help shows an example.
func (*fleetCommand) Help() string { return "testbench fleet logs --rows 5s" }

// Run counts.
func (c *fleetCommand) Run(out io.Writer) error {
	count, err := fleet.Read(c.Dir, c.Every, c.Warm)
	if err != nil {
		return err
	}
	return count.Write(out, c.Rows)
}
