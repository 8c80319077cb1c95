package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"plankrouter/internal/testbench/emulator"
)

// overloadCommand plays the scale test of overload in virtual time.
type overloadCommand struct {
	Sidecars         []int     `default:"4,40,300,2000,6000" placeholder:"N,..." help:"Sidecars that share the traffic (${default})."`
	Servers          int       `default:"50" placeholder:"M" help:"Servers; 0 = as many as sidecars (${default})."`
	Loads            []float64 `default:"0.5,0.9,1.2,2" placeholder:"L,..." help:"First tries over what the servers bear (${default})."`
	Reports          []string  `default:"none,full" placeholder:"R,..." help:"Whether probes report a load: none, queued (by the time they wait), full (${default})."`
	Events           []string  `default:"burst,zone" placeholder:"E,..." help:"What happens: none, burst, swell, zone (${default})."`
	Seeds            []uint64  `default:"1" placeholder:"S,..." help:"Of the days (${default})."`
	Policy           string    `default:"module" placeholder:"NAME" help:"As of emulate (${default})."`
	PriorityFraction float64   `name:"worthy" placeholder:"P" help:"Part of the requests that is worth five times the others (${default})." default:"0"`
	ZoneSkew         float64   `placeholder:"P" help:"So much more traffic in the first zone, and less in the last (${default})." default:"0"`
	Drawn            bool      `help:"Draw work, queues, chokes and the clients' ways from the seed, too."`
	Free             bool      `help:"Probes and connections cost the servers nothing: what deciding alone does."`
	JSON             string    `name:"json" placeholder:"FILE" help:"Write the runs with their seconds as JSON, too."`
	BySecond         bool      `help:"Write each run's seconds."`
	Workers          int       `placeholder:"N" help:"Runs side by side (GOMAXPROCS)."`
	Progress         bool      `help:"Write a line for each run as it ends, with the time so far."`
}

// Help shows examples.
func (*overloadCommand) Help() string {
	return "testbench overload --sidecars 4,40,300 --loads 0.9 --reports none --by-second\n\n" +
		"testbench overload --servers 0 --sidecars 6,40,300 --loads 0.57 --events swell --reports none\n"
}

// runs lists what is to be played, the most expensive first, since they last longest.
func (c *overloadCommand) runs() (runs []emulator.Overload, err error) {
	for _, event := range c.Events {
		for _, reports := range c.Reports {
			for _, load := range c.Loads {
				for _, seed := range c.Seeds {
					for _, n := range c.Sidecars {
						o := emulator.Overload{
							Sidecars: n, Servers: c.Servers, Load: load, Reports: reports,
							Event: event, Seed: seed, Policy: c.Policy, PriorityFraction: c.PriorityFraction,
							ZoneSkew: c.ZoneSkew, Drawn: c.Drawn, Free: c.Free,
						}
						if o.Servers == 0 {
							o.Servers = n
						}
						if _, err := o.Config(); err != nil {
							return nil, fmt.Errorf("overload: %w", err)
						}
						runs = append(runs, o)
					}
				}
			}
		}
	}
	return runs, nil
}

// Validate checks the arguments.
func (c *overloadCommand) Validate() error {
	_, err := c.runs()
	return err
}

// Run plays the days and writes the table.
func (c *overloadCommand) Run(ctx context.Context, out io.Writer) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	workers := c.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	began := time.Now()
	var done func(*emulator.OverloadResult)
	if c.Progress {
		done = func(r *emulator.OverloadResult) {
			fmt.Fprintf(out, "%4.0f s: %s, reports %s, load %g, seed %d, %d sidecars: share %.3f, after %.3f\n",
				time.Since(began).Seconds(), r.Event, r.Reports, r.Load, r.Seed, r.Sidecars, r.Share, r.After)
		}
	}
	results, err := emulator.PlayOverloads(ctx, runs, workers, done)
	if err != nil {
		return err
	}
	if err := emulator.WriteOverloads(out, results, c.BySecond); err != nil {
		return err
	}
	if err := save(c.JSON, func(w io.Writer) error { return emulator.WriteOverloadsJSON(w, results) }); err != nil {
		return err
	}
	for _, r := range results {
		if r.Broken > 0 && r.Policy == module {
			return errBroken
		}
	}
	return nil
}
