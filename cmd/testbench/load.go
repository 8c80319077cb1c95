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

// Errors after a report that is invalid or partial.
var (
	errLate        = errors.New("the generator fell behind its plan, so the run is invalid: see above")
	errInterrupted = errors.New("interrupted: the report is partial")
)

// loadCommand sends load and measures it, or runs a server for it.
type loadCommand struct {
	Plan    string        `arg:"" optional:"" placeholder:"PLAN" help:"File that describes the load."`
	To      string        `placeholder:"HOST:PORT" help:"Address to send the load to."`
	Rate    float64       `help:"Instead of a plan: GET requests per second for /tile."`
	For     time.Duration `help:"Duration; overrides the plan's for_s."`
	Spacing string        `enum:"poisson,even" default:"poisson" help:"Spacing of the requests of --rate: ${enum}."`
	Seed    *uint64       `help:"Overrides the plan's seed."`
	Workers int           `default:"1" help:"Processes that share the load."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Also write the report to this file, as JSON."`
	CSV     string        `name:"csv" placeholder:"FILE" help:"Write a row for each second and class."`
	Plot    string        `placeholder:"FILE" help:"Plot the results by second: .svg or .png."`
	Trace   string        `placeholder:"FILE" help:"Write the planned requests: .csv or .jsonl. Without --to nothing is sent."`
	Serve   bool          `help:"Instead: run a server that responds to each request at once, until standard input ends."`
	Work    bool          `hidden:""`

	plan *loadgen.Plan
}

// Help shows examples.
func (*loadCommand) Help() string {
	return `Requests are sent when they are due, regardless of earlier ones, and latency counts from then.

    testbench load --to 127.0.0.1:3000 --rate 200 --for 30s

    testbench load evening.json --to 127.0.0.1:3000 --workers 2 --plot evening.svg

The exit code is 1 if the generator itself was later than the plan allows, or the run was interrupted. ` +
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

// validateFlags checks the combination and the values of the flags.
func (c *loadCommand) validateFlags() error {
	switch {
	case (c.Plan == "") == (c.Rate == 0):
		return errors.New("want a plan, or --rate and --for")
	case c.Rate != 0 && c.For == 0:
		return errors.New("--for is missing; want a duration, as in --for 30s")
	case c.For < 0 || c.Rate < 0:
		return fmt.Errorf("--for, --rate: %v, %v; want more than 0", c.For, c.Rate)
	case c.To == "" && c.Trace == "":
		return errors.New("--to: say where to send the load, as in --to 127.0.0.1:3000")
	case c.To == "" && c.JSON+c.CSV+c.Plot != "":
		return errors.New("--json, --csv, --plot need a run; give its address by --to")
	case c.Workers < 1 || c.Workers > 64:
		return fmt.Errorf("--workers: %d; want from 1 to 64", c.Workers)
	}
	if _, _, err := net.SplitHostPort(c.To); err != nil && c.To != "" {
		return fmt.Errorf("--to: %w; want HOST:PORT, as in 127.0.0.1:3000", err)
	}
	return nil
}

// validateOutputs checks the formats of the output files, given by their names.
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

// protectInputs returns an error if an output would overwrite a file that the run reads.
func (c *loadCommand) protectInputs() error {
	sources := []string{c.Plan}
	if c.plan.Trace != nil {
		sources = append(sources, c.plan.Trace.File)
	}
	for _, name := range []string{c.JSON, c.CSV, c.Plot, c.Trace} {
		to, err := os.Stat(name)
		if err != nil {
			continue // the file does not exist yet
		}
		for _, source := range sources {
			if from, err := os.Stat(source); err == nil && os.SameFile(from, to) {
				return fmt.Errorf("%s: the run reads this file, so it can't be written; choose another name", name)
			}
		}
	}
	return nil
}

// makePlan reads the plan, or creates one from the flags.
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

// gcPercent lets the heap grow to many times the memory in use, which is small, since a garbage collection delays sends.
const gcPercent = 1000

// Run sends the load, or runs a server or a worker process.
func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	switch {
	case c.Serve:
		context.AfterFunc(ctx, func() { os.Exit(0) })
		_ = os.Setenv(cpubench.RoleVariable, cpubench.RoleServers+" 1")
		cpubench.Serve() // exits the process
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

// send runs the plan in this process, or in several worker processes.
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

// loadFiles are the files that are written besides the report; nil = not requested.
type loadFiles struct{ json, csv, plot, trace *os.File }

// files creates the output files before anything is sent, so that a run is not lost because a file can't be created.
func (c *loadCommand) files() (f loadFiles, err error) {
	for _, file := range []struct {
		name   string
		target **os.File
	}{{c.JSON, &f.json}, {c.CSV, &f.csv}, {c.Plot, &f.plot}, {c.Trace, &f.trace}} {
		if file.name == "" {
			continue
		}
		if *file.target, err = os.Create(file.name); err != nil {
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

// write writes the report to the files; plot is the format of the plot.
func (f *loadFiles) write(r *loadgen.Report, plot string) error {
	var errs []error
	if f.json != nil {
		e := json.NewEncoder(f.json)
		e.SetIndent("", "  ")
		errs = append(errs, e.Encode(r))
	}
	if f.csv != nil {
		errs = append(errs, r.WriteCSV(f.csv))
	}
	if f.plot != nil {
		form, err := loadgen.PlotFormat(plot)
		if err == nil {
			err = r.Plot(f.plot, form)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
