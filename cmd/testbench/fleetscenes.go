package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/testbench/simulated"
)

// fleetScenesCommand runs scenes on fleets of simulated sidecars.
type fleetScenesCommand struct {
	Kind       []string      `default:"pushed,on_request" enum:"pushed,on_request" help:"Kinds of discovery: an agent for each sidecar, one service for all."`
	Sidecars   []int         `default:"250,500,1000,2000" help:"Sizes of the fleets, in sidecars."`
	Servers    int           `default:"64" help:"Servers in the endpoint list."`
	PerPart    int           `default:"250" help:"Sidecars per process."`
	ProbePrice float64       `default:"0.0046" help:"Prices.Probe in the settings."`
	SlotRate   float64       `name:"turn-rate" default:"200" help:"On request: slots per second for polls of the complete list and the first poll of a connection; a poll that would wait over 2 s for a slot is rejected."`
	Watch      string        `type:"existingfile" placeholder:"FILE" help:"On request: a configuration whose plankrouter.watch is used, such as deploy/shared-directory.json."`
	Scene      []string      `placeholder:"NAME" help:"Only these scenes after the start: idle, calls, list, burst, configuration, zone, restart."`
	Window     time.Duration `default:"10s" help:"Measured duration of scenes with constant load."`
	CallsAll   float64       `default:"4000" help:"Requests per second of a whole fleet in scenes with load; at most 40 of a sidecar."`
	Restart    int           `default:"300" help:"Sidecars that are restarted at the same time."`
	MaxMemory  float64       `name:"memory-most" default:"11000" help:"Memory of a fleet in MB above which no scene is run on it."`
	Program    string        `placeholder:"FILE" help:"The sidecar's program: first one real and one simulated sidecar are compared; with --sidecars 0 no fleet is run."`
	JSON       string        `name:"json" placeholder:"FILE" help:"Also write the results to this file, as JSON."`
}

// Help shows an example.
func (*fleetScenesCommand) Help() string {
	return "testbench fleet-scenes --sidecars 250,500 --json figures.json. See docs/design/simulated-fleet.md."
}

// Validate checks the arguments.
func (c *fleetScenesCommand) Validate() error {
	for _, n := range c.Sidecars {
		if n < 0 {
			return fmt.Errorf("--sidecars: %d is negative", n)
		}
	}
	for _, name := range c.Scene {
		if !slices.Contains(simulated.Scenes(), name) {
			return fmt.Errorf("--scene: there is no %q", name)
		}
	}
	switch {
	case c.Servers < 8:
		return fmt.Errorf("--servers: %d; want 8 or more, one for each zone", c.Servers)
	case c.PerPart < 1:
		return fmt.Errorf("--per-part: %d; want 1 or more", c.PerPart)
	case c.Restart < 1:
		return fmt.Errorf("--restart: %d; want 1 or more", c.Restart)
	case c.Window < time.Second:
		return fmt.Errorf("--window: %s; want 1s or more", c.Window)
	case c.SlotRate < 0 || c.CallsAll < 0:
		return fmt.Errorf("--turn-rate, --calls-all: %g, %g; want 0 or more", c.SlotRate, c.CallsAll)
	case c.Program != "":
		return executable(c.Program)
	}
	return nil
}

// fleetResults is the content of the JSON file.
type fleetResults struct {
	SideBySide []simulated.Comparison `json:"side_by_side,omitempty"`
	Rows       []simulated.Row        `json:"rows"`
}

// Run compares a real and a simulated sidecar, if a program is given, and runs the scenes on each fleet.
func (c *fleetScenesCommand) Run(ctx context.Context, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	set := simulated.Setup{
		PerPart: c.PerPart, Servers: c.Servers, ProbeCost: c.ProbePrice, SlotRate: c.SlotRate,
		MaxMemory: c.MaxMemory, MaxStartTime: time.Minute, Spawn: simulated.Program(self, "fleet-part"),
	}
	if c.Watch != "" {
		if set.Watch, err = readWatch(c.Watch); err != nil {
			return err
		}
	}
	plan := simulated.DefaultPlan()
	plan.Window, plan.CallsAll, plan.Restart, plan.Only = c.Window, c.CallsAll, c.Restart, c.Scene
	var f fleetResults
	if c.Program != "" {
		for _, rate := range []float64{0, plan.CallsOne} {
			both, err := simulated.Compare(ctx, c.Program, set, rate, c.Window)
			if err != nil {
				return fmt.Errorf("comparison at %g requests per second: %w", rate, err)
			}
			f.SideBySide = append(f.SideBySide, both...)
		}
		if err := simulated.WriteComparison(out, f.SideBySide); err != nil {
			return err
		}
	}
	for _, kind := range c.Kind {
		for _, n := range c.Sidecars {
			if n == 0 {
				continue
			}
			set.Kind, set.Sidecars = kind, n
			rows, failed := simulated.RunScenes(ctx, set, plan)
			f.Rows = append(f.Rows, rows...)
			if err := c.save(f); err != nil { // saved after each fleet, so that a later failure loses no results
				return err
			}
			if failed != nil {
				_ = simulated.WriteTable(out, f.Rows)
				return fmt.Errorf("%s, %d sidecars: %w", kind, n, failed)
			}
		}
	}
	if err := simulated.WriteTable(out, f.Rows); err != nil {
		return err
	}
	return c.save(f)
}

// save writes the results to the file of --json, if it is given.
func (c *fleetScenesCommand) save(f fleetResults) error { return (&experiment{JSON: c.JSON}).save(f) }

// readWatch reads plankrouter.watch of a configuration.
func readWatch(path string) (*config.WatchMs, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--watch: %w", err)
	}
	var document struct {
		Own struct {
			Watch *config.WatchMs `json:"watch"`
		} `json:"plankrouter"`
	}
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, fmt.Errorf("--watch: %s: %w", path, err)
	}
	if document.Own.Watch == nil {
		return nil, fmt.Errorf("--watch: %s: plankrouter.watch: missing", path)
	}
	return document.Own.Watch, nil
}

// fleetPartCommand is a process of a fleet, started by fleet-scenes.
type fleetPartCommand struct{}

// Run executes the commands of fleet-scenes from standard input.
func (*fleetPartCommand) Run(ctx context.Context, out io.Writer) error {
	return simulated.Serve(ctx, os.Stdin, out)
}
