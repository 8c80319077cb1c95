package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"plankrouter/internal/testbench/soak"
)

// soakCommand searches for rare bugs by fault injection.
type soakCommand struct {
	Program  string        `default:"bin/plankrouter-faults" placeholder:"FILE" help:"The sidecar's program, built with the tag faultinjection (make soak does)."`
	Seed     uint64        `default:"1" help:"Seed of the first run; each further run has the next one."`
	Seeds    int           `default:"5" help:"Number of runs."`
	For      time.Duration `default:"25s" help:"Length of a run."`
	Sidecars int           `default:"12" help:"Number of real sidecars."`
	Servers  int           `default:"8" help:"Number of fake servers."`
	Rate     float64       `default:"25" help:"Requests per second for each sidecar."`
	Only     []soak.Kind   `placeholder:"KIND" help:"Inject only this kind of fault; may be repeated."`
	Keep     string        `placeholder:"DIR" help:"Copy the folders of runs with violations here."`
}

// Run executes the runs one after another.
func (c *soakCommand) Run(ctx context.Context, out io.Writer) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return err
		}
		report, err := soak.Run(ctx, soak.Options{
			Program: program, Dir: dir, Seed: seed, Sidecars: c.Sidecars, Servers: c.Servers, Rate: c.Rate,
			For: c.For, Only: c.Only,
		})
		if err != nil {
			return errors.Join(err, os.RemoveAll(dir))
		}
		report.Write(out)
		if len(report.Violations) > 0 {
			broken++
		}
		if len(report.Violations) > 0 && c.Keep != "" {
			to := filepath.Join(c.Keep, fmt.Sprintf("seed-%d", seed))
			if err := errors.Join(os.MkdirAll(c.Keep, 0o755), os.RemoveAll(to), os.CopyFS(to, os.DirFS(dir))); err != nil {
				return err
			}
		}
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d of %d runs violated a rule\n", broken, c.Seeds)
	if broken > 0 {
		return errBroken
	}
	return nil
}
