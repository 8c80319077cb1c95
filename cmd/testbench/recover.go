package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"plankrouter/internal/testbench/recovery"
)

// experiment holds the flags that recover and handover share.
type experiment struct {
	Servers int     `name:"providers" default:"8" help:"Servers in the fleet."`
	Rate    float64 `default:"400" help:"Requests per second."`
	Keep    string  `placeholder:"DIR" help:"Keep the sidecars' logs and configurations in this folder."`
	JSON    string  `name:"json" placeholder:"FILE" help:"Also write the results to this file, as JSON."`
}

// setup returns the setup for a program and a seed.
func (e *experiment) setup(program string, seed uint64) recovery.Setup {
	return recovery.Setup{Program: program, Servers: e.Servers, Rate: e.Rate, Seed: seed}
}

// folder returns the folder for logs and configurations, and a function to call at the end, which removes it unless --keep
// is given.
func (e *experiment) folder() (string, func(), error) {
	if e.Keep != "" {
		return e.Keep, func() {}, os.MkdirAll(e.Keep, 0o755)
	}
	dir, err := os.MkdirTemp("", "testbench-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// save writes the results to the file of --json, if it is given.
func (e *experiment) save(results any) error {
	if e.JSON == "" {
		return nil
	}
	raw, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.JSON, append(raw, '\n'), 0o644)
}

// recoverCommand runs recovery scenarios.
type recoverCommand struct {
	experiment
	Program  []string `default:"bin/plankrouter" placeholder:"FILE" help:"The sidecar's program; several are run in turn."`
	Scenario []string `placeholder:"NAME" help:"Run only this scenario of those listed below; may be repeated."`
	Seeds    int      `default:"3" help:"Runs of each scenario."`
}

// Help lists the scenarios.
func (*recoverCommand) Help() string {
	var b strings.Builder
	for _, s := range recovery.Scenarios() {
		fmt.Fprintf(&b, "%s: %s.\n\n", s.Name, s.About)
	}
	return b.String()
}

// Validate checks the arguments.
func (c *recoverCommand) Validate() error {
	for _, name := range c.Scenario {
		if !slices.ContainsFunc(recovery.Scenarios(), func(s recovery.Scenario) bool { return s.Name == name }) {
			return fmt.Errorf("--scenario: there is no %q", name)
		}
	}
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds: %d; want 1 or more", c.Seeds)
	}
	for _, program := range c.Program {
		if err := executable(program); err != nil {
			return err
		}
	}
	return c.setup("", 1).Check()
}

// executable returns an error if a program can't be started.
func executable(program string) error {
	path, err := filepath.Abs(program) // a bare name is a file here, not one of PATH
	if err == nil {
		_, err = exec.LookPath(path)
	}
	if err != nil {
		return fmt.Errorf("--program: %w; build it with make build, or give another", err)
	}
	return nil
}

// Run runs each scenario with each seed and program.
func (c *recoverCommand) Run(ctx context.Context, out io.Writer) error {
	dir, done, err := c.folder()
	if err != nil {
		return err
	}
	defer done()
	var reports []recovery.Report
	for _, s := range recovery.Scenarios() {
		if len(c.Scenario) > 0 && !slices.Contains(c.Scenario, s.Name) {
			continue
		}
		for seed := range uint64(c.Seeds) {
			for i, program := range c.Program {
				setup := c.setup(program, seed+1)
				setup.Dir = filepath.Join(dir, fmt.Sprintf("%s-%d-%d", s.Name, seed+1, i+1))
				if err := os.MkdirAll(setup.Dir, 0o755); err != nil {
					return err
				}
				report, err := recovery.Run(ctx, s, setup)
				if err != nil {
					return fmt.Errorf("%s, seed %d, %s: %w", s.Name, seed+1, program, err)
				}
				reports = append(reports, report)
			}
		}
	}
	if err := recovery.WriteTable(out, reports); err != nil {
		return err
	}
	if err := c.save(reports); err != nil {
		return err
	}
	if slices.ContainsFunc(reports, func(r recovery.Report) bool { return len(r.Broken) > 0 }) {
		return errBroken
	}
	return nil
}
