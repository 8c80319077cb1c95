package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"plankrouter/internal/testbench/emulator"
)

// overloadCommand runs the overload test in virtual time: the same traffic from different numbers of sidecars.
type overloadCommand struct {
	Sidecars         []int     `default:"4,40,300,2000,6000" placeholder:"N,..." help:"Sidecars that share the traffic (${default})."`
	Servers          int       `default:"50" placeholder:"M" help:"Servers; 0 = as many as sidecars (${default})."`
	Loads            []float64 `default:"0.5,0.9,1.2,2" placeholder:"L,..." help:"Rate of first attempts, relative to the servers' capacity (${default})."`
	Reports          []string  `default:"none,full" placeholder:"R,..." help:"Load reports of probes: none, queued (by queueing time), full (${default})."`
	Events           []string  `default:"burst,zone" placeholder:"E,..." help:"Events: none, burst, swell, zone (${default})."`
	Seeds            []uint64  `default:"1" placeholder:"S,..." help:"Seeds of the days (${default})."`
	Policy           string    `default:"module" placeholder:"NAME" help:"Policy, as for emulate (${default})."`
	PriorityFraction float64   `name:"worthy" placeholder:"P" help:"Fraction of requests with five times the priority weight of the others (${default})." default:"0"`
	ZoneSkew         float64   `placeholder:"P" help:"Fraction by which the first zone has more traffic, and the last zone less (${default})." default:"0"`
	Drawn            bool      `help:"Draw work, queues, chokes and the clients' behaviour from the seed, too."`
	Free             bool      `help:"Probes and connections cost the servers nothing, to show the effect of decisions alone."`
	JSON             string    `name:"json" placeholder:"FILE" help:"Also write the runs, with results by second, to this file, as JSON."`
	BySecond         bool      `help:"Write the results of each run by second."`
	Workers          int       `placeholder:"N" help:"Concurrent runs (GOMAXPROCS)."`
	Progress         bool      `help:"Write a line with the elapsed time at the end of each run."`
}

// Help shows examples.
func (*overloadCommand) Help() string {
	return "testbench overload --sidecars 4,40,300 --loads 0.9 --reports none --by-second\n\n" +
		"testbench overload --servers 0 --sidecars 6,40,300 --loads 0.57 --events swell --reports none\n"
}

// runs lists the runs to execute.
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

// Run executes the runs and writes the table.
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
