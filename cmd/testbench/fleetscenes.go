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

// fleetScenesCommand plays fleets of simulated sidecars.
type fleetScenesCommand struct {
	Kind       []string      `default:"pushed,on_request" enum:"pushed,on_request" help:"Kinds of discovery: an agent for each sidecar, one service for all."`
	Sidecars   []int         `default:"250,500,1000,2000" help:"Fleets, by their sidecars."`
	Servers    int           `default:"64" help:"Servers in the list."`
	PerPart    int           `default:"250" help:"Sidecars in a process."`
	ProbePrice float64       `default:"0.0046" help:"Prices.Probe of the settings."`
	SlotRate   float64       `name:"turn-rate" default:"200" help:"On request: calls a second that get a slot, of those for the complete list and the first of a connection; others wait up to 2 s and are rejected then."`
	Watch      string        `type:"existingfile" placeholder:"FILE" help:"On request: a configuration whose plankrouter.watch is taken, such as deploy/shared-directory.json."`
	Scene      []string      `placeholder:"NAME" help:"Only these, after the start: idle, calls, list, burst, configuration, zone, restart."`
	Window     time.Duration `default:"10s" help:"Stretch of an ordinary minute that is looked at."`
	CallsAll   float64       `default:"4000" help:"Calls a second of a whole fleet, while there are calls; of a sidecar at most 40."`
	Restart    int           `default:"300" help:"Sidecars that are restarted together."`
	MaxMemory  float64       `name:"memory-most" default:"11000" help:"Memory of a fleet in MB beyond which it is not played."`
	Program    string        `placeholder:"FILE" help:"The sidecar's program: one real and one simulated sidecar are measured side by side first, and no fleet where --sidecars is 0."`
	JSON       string        `name:"json" placeholder:"FILE" help:"Write the results to this file, too."`
}

// Help says how to read it.
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

// fleetResults is what goes into the file.
type fleetResults struct {
	SideBySide []simulated.Comparison `json:"side_by_side,omitempty"`
	Rows       []simulated.Row        `json:"rows"`
}

// Run measures and plays.
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
				return fmt.Errorf("side by side, %g calls a second: %w", rate, err)
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
			if err := c.save(f); err != nil { // what has been played is kept, whatever comes after
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

func (c *fleetScenesCommand) save(f fleetResults) error { return (&experiment{JSON: c.JSON}).save(f) }

// readWatch reads plankrouter.watch of a configuration.
func readWatch(path string) (*config.WatchMs, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--watch: %w", err)
	}
	var has struct {
		Own struct {
			Watch *config.WatchMs `json:"watch"`
		} `json:"plankrouter"`
	}
	if err := json.Unmarshal(raw, &has); err != nil {
		return nil, fmt.Errorf("--watch: %s: %w", path, err)
	}
	if has.Own.Watch == nil {
		return nil, fmt.Errorf("--watch: %s: plankrouter.watch: missing", path)
	}
	return has.Own.Watch, nil
}

// fleetPartCommand is a process of a fleet, which fleet-scenes starts.
type fleetPartCommand struct{}

// Run obeys.
func (*fleetPartCommand) Run(ctx context.Context, out io.Writer) error {
	return simulated.Serve(ctx, os.Stdin, out)
}
