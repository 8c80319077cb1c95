package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"time"

	"plankrouter/internal/testbench/cpubench"
	"plankrouter/internal/testbench/loadgen"
)

// errLate says that a report is about the generator.
var (
	errLate        = errors.New("the generator fell behind its plan, so that the run is invalid: see above")
	errInterrupted = errors.New("interrupted: the report is a partial one")
)

// loadCommand sends load.
type loadCommand struct {
	Plan    string        `arg:"" optional:"" placeholder:"PLAN" help:"The file that says what to ask for."`
	To      string        `placeholder:"HOST:PORT" help:"Where to send it."`
	Rate    float64       `help:"Instead of a plan: requests a second for /tile, by GET."`
	For     time.Duration `help:"For how long; goes before the plan's for_s."`
	Spacing string        `enum:"poisson,even" default:"poisson" help:"Of the requests of --rate: ${enum}."`
	Seed    *uint64       `help:"Goes before the plan's seed."`
	Workers int           `default:"1" help:"Processes that share the plan."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Write the report to this file, too."`
	CSV     string        `name:"csv" placeholder:"FILE" help:"Write a row for each second and class."`
	Plot    string        `placeholder:"FILE" help:"Draw the seconds: .svg or .png."`
	Trace   string        `placeholder:"FILE" help:"Write what is due: .csv or .jsonl. Without --to nothing is sent."`
	Serve   bool          `help:"Instead: be a server that answers all at once, until standard input ends."`
	Work    bool          `hidden:""`

	plan *loadgen.Plan
}

// Help shows how to begin.
func (*loadCommand) Help() string {
	return `Requests go out when they are due, whatever has become of those before, and latency counts from then.

    testbench load --to 127.0.0.1:3000 --rate 200 --for 30s

    testbench load evening.json --to 127.0.0.1:3000 --workers 2 --plot evening.svg

The exit code is 1 if the generator itself was late, beyond the plan's bounds, or the run was interrupted. ` +
		`docs/operate/load.md describes plans, traces and the report.`
}

// Validate checks the arguments and reads the plan.
func (c *loadCommand) Validate() error {
	if c.Serve || c.Work {
		return nil
	}
	if err := c.validateFlags(); err != nil {
		return err
	}
	if err := c.validateOutputs(); err != nil {
		return err
	}
	if err := c.makePlan(); err != nil {
		return err
	}
	return c.protectInputs()
}

func (c *loadCommand) validateFlags() error {
	switch {
	case (c.Plan == "") == (c.Rate == 0):
		return errors.New("want a plan, or --rate and --for")
	case c.Rate != 0 && c.For == 0:
		return errors.New("--for: say for how long, as in --for 30s")
	case c.For < 0 || c.Rate < 0:
		return fmt.Errorf("--for, --rate: %v, %v; want more than 0", c.For, c.Rate)
	case c.To == "" && c.Trace == "":
		return errors.New("--to: say where to send the load, as in --to 127.0.0.1:3000")
	case c.To == "" && c.JSON+c.CSV+c.Plot != "":
		return errors.New("--json, --csv, --plot: they are of a run; say where to send the load by --to")
	case c.Workers < 1 || c.Workers > 64:
		return fmt.Errorf("--workers: %d; want from 1 to 64", c.Workers)
	}
	if _, _, err := net.SplitHostPort(c.To); err != nil && c.To != "" {
		return fmt.Errorf("--to: %w; want HOST:PORT, as in 127.0.0.1:3000", err)
	}
	return nil
}

// validateOutputs checks the forms of the files to write, by their names.
func (c *loadCommand) validateOutputs() error {
	if c.Trace != "" {
		if _, err := loadgen.TraceFormat(c.Trace); err != nil {
			return fmt.Errorf("--trace: %w", err)
		}
	}
	if c.Plot != "" {
		if _, err := loadgen.PlotFormat(filepath.Ext(c.Plot)); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	return nil
}

// protectInputs refuses to write over a file that the run reads.
func (c *loadCommand) protectInputs() error {
	sources := []string{c.Plan}
	if c.plan.Trace != nil {
		sources = append(sources, c.plan.Trace.File)
	}
	for _, name := range []string{c.JSON, c.CSV, c.Plot, c.Trace} {
		to, err := os.Stat(name)
		if err != nil {
			continue // there is nothing yet
		}
		for _, source := range sources {
			if from, err := os.Stat(source); err == nil && os.SameFile(from, to) {
				return fmt.Errorf("%s: the run reads it, so that it can't be written; choose another name", name)
			}
		}
	}
	return nil
}

// makePlan reads the plan, or makes one of the arguments.
func (c *loadCommand) makePlan() (err error) {
	if c.Plan == "" {
		c.plan = &loadgen.Plan{
			Classes: []loadgen.Class{{Name: "tile", LatencyObjectiveMs: 750, DeadlineMs: 2500}},
			Streams: []loadgen.Stream{{Spacing: c.Spacing, Shape: loadgen.Shape{Kind: "constant", Rate: c.Rate}}},
		}
	} else if c.plan, err = loadgen.Read(c.Plan); err != nil {
		return err
	}
	if c.For > 0 {
		c.plan.ForS = c.For.Seconds()
	}
	if c.Seed != nil {
		c.plan.Seed = *c.Seed
	}
	return c.plan.Check()
}

// collectLater is how far garbage may grow, in percent of what is in use: that is little, and a collection makes sends
// late.
const collectLater = 1000

// Run sends the load, or plays one of the other parts.
func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	debug.SetGCPercent(collectLater)
	switch {
	case c.Serve:
		context.AfterFunc(ctx, func() { os.Exit(0) })
		_ = os.Setenv(cpubench.RoleVariable, cpubench.RoleServers+" 1")
		cpubench.Serve() // ends the process
	case c.Work:
		return loadgen.RunWorker(ctx, os.Stdin, out)
	}
	files, err := c.files()
	if err != nil {
		return err
	}
	defer files.close()
	if files.trace != nil {
		form, _ := loadgen.TraceFormat(c.Trace)
		if err := loadgen.WriteTrace(files.trace, form, c.plan.Requests()); err != nil {
			return fmt.Errorf("%s: %w", c.Trace, err)
		}
	}
	if c.To == "" {
		return nil
	}
	result, err := c.send(ctx)
	if err != nil {
		return err
	}
	report := loadgen.NewReport(c.plan, result, c.To, c.Workers)
	if err := errors.Join(report.Write(out), files.write(report, filepath.Ext(c.Plot))); err != nil {
		return err
	}
	switch {
	case !report.Valid:
		return errLate
	case report.Partial:
		return errInterrupted
	}
	return nil
}

// send runs the plan in this process, or in several.
func (c *loadCommand) send(ctx context.Context) (*loadgen.Result, error) {
	if c.Workers == 1 {
		return loadgen.Run(ctx, c.plan, loadgen.Options{Address: c.To})
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var commands []*exec.Cmd
	for range c.Workers {
		cmd := exec.Command(self, "load", "--work")
		cmd.Stderr = os.Stderr
		commands = append(commands, cmd)
	}
	return loadgen.RunDistributed(ctx, c.plan, c.To, commands)
}

// loadFiles are what is written besides the report; nil = not asked for.
type loadFiles struct{ json, csv, plot, trace *os.File }

// files makes them before anything is sent, so that a run is not lost to a name that can't be written.
func (c *loadCommand) files() (f loadFiles, err error) {
	for _, file := range []struct {
		name string
		to   **os.File
	}{{c.JSON, &f.json}, {c.CSV, &f.csv}, {c.Plot, &f.plot}, {c.Trace, &f.trace}} {
		if file.name == "" {
			continue
		}
		if *file.to, err = os.Create(file.name); err != nil {
			f.close()
			return f, err
		}
	}
	return f, nil
}

func (f *loadFiles) close() {
	for _, file := range []*os.File{f.json, f.csv, f.plot, f.trace} {
		if file != nil {
			file.Close()
		}
	}
}

func (f *loadFiles) write(r *loadgen.Report, plot string) error {
	var problems []error
	if f.json != nil {
		e := json.NewEncoder(f.json)
		e.SetIndent("", "  ")
		problems = append(problems, e.Encode(r))
	}
	if f.csv != nil {
		problems = append(problems, r.WriteCSV(f.csv))
	}
	if f.plot != nil {
		form, err := loadgen.PlotFormat(plot)
		if err == nil {
			err = r.Plot(f.plot, form)
		}
		problems = append(problems, err)
	}
	return errors.Join(problems...)
}
