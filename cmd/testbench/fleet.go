package main

import (
	"io"
	"time"

	"plankrouter/internal/testbench/fleet"
)

// fleetCommand adds up what the sidecars of a fleet have logged.
type fleetCommand struct {
	Dir   string        `arg:"" type:"existingdir" help:"Folder with the sidecars' logs, one *.log for each, written with GW_TRACE=1."`
	Every time.Duration `default:"100ms" help:"Interval for the peaks at one server."`
	Rows  time.Duration `default:"1s" help:"Interval of a row."`
	Warm  time.Duration `default:"8.1s" help:"Time after its start for which a server process counts as cold."`
}

// Help shows an example.
func (*fleetCommand) Help() string { return "testbench fleet logs --rows 5s" }

// Run reads the logs and writes the counts.
func (c *fleetCommand) Run(out io.Writer) error {
	count, err := fleet.Read(c.Dir, c.Every, c.Warm)
	if err != nil {
		return err
	}
	return count.Write(out, c.Rows)
}
