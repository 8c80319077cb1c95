package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/testbench/emulator"
)

// emulateCommand runs a scenario in virtual time, called a day, or compares two settings over several days.
type emulateCommand struct {
	Sidecars   *int           `placeholder:"N" help:"Number of sidecars (4)."`
	Servers    *int           `placeholder:"M" help:"Number of servers (16)."`
	Rate       *float64       `placeholder:"R" help:"First attempts per second, total of all sidecars (20 for each server)."`
	For        *time.Duration `placeholder:"D" help:"Length of the day in virtual time (30s)."`
	Faults     []string       `name:"trouble" placeholder:"NAME" help:"Faults to inject: names listed below, or random."`
	Seed       *uint64        `placeholder:"S" help:"Seed of the day (1)."`
	PolicySeed *uint64        `placeholder:"S" help:"Seed of the sidecars' random choices, for the same day (0)."`
	Policy     *string        `placeholder:"NAME" help:"Policy: module, random, round-robin, least or oracle (module)."`
	Plan       string         `type:"existingfile" placeholder:"FILE" help:"Settings and faults; flags override them."`
	JSON       string         `name:"json" placeholder:"FILE" help:"Also write the report to this file, as JSON."`
	CSV        string         `name:"csv" placeholder:"FILE" help:"Write a row for each second."`
	Measure    bool           `help:"Report the time and memory used on this machine, and the time spent in the policy."`

	Days        int    `default:"20" help:"Days of a comparison, with consecutive seeds from --seed on."`
	Against     string `type:"existingfile" placeholder:"FILE" help:"Compare with a second plan, applied on top of the first one."`
	AgainstWith string `placeholder:"NAME" help:"Compare with another policy."`
	AgainstSeed uint64 `placeholder:"S" help:"Compare with other random choices of the sidecars: another --policy-seed."`
	Workers     int    `placeholder:"N" help:"Days of a comparison that run concurrently (GOMAXPROCS)."`
}

// Help shows examples and lists the faults.
func (*emulateCommand) Help() string {
	var b strings.Builder
	b.WriteString("testbench emulate --sidecars 100 --servers 40 --trouble silence,neighbour --seed 7\n\n" +
		"testbench emulate --trouble deploy --days 20 --against-with least\n\nFaults:\n\n")
	for _, k := range emulator.FaultKinds() {
		fmt.Fprintf(&b, "%s: %s.\n\n", k.Name, k.About)
	}
	return b.String()
}

// config reads the plan and overrides it with the flags.
func (c *emulateCommand) config() (emulator.Config, error) {
	size := emulator.Default(4, 16)
	if err := read(c.Plan, &size); err != nil {
		return size, err
	}
	set(&size.Servers, c.Servers)
	set(&size.Sidecars, c.Sidecars)
	// The default load depends on the size of the fleet. It applies unless the plan sets the load.
	cfg := emulator.Default(size.Sidecars, size.Servers)
	if err := read(c.Plan, &cfg); err != nil {
		return cfg, err
	}
	cfg.Servers, cfg.Sidecars = size.Servers, size.Sidecars
	set(&cfg.Rate, c.Rate)
	set(&cfg.Seed, c.Seed)
	set(&cfg.PolicySeed, c.PolicySeed)
	set(&cfg.Policy, c.Policy)
	if c.For != nil {
		cfg.Seconds = c.For.Seconds()
	}
	for _, name := range c.Faults {
		names := []string{name}
		if name == "random" {
			names = emulator.Random(cfg.Seed)
		}
		for _, n := range names {
			cfg.Faults = append(cfg.Faults, emulator.Fault{Name: n})
		}
	}
	return cfg, cfg.Check()
}

// set assigns the value of a flag, if it was given.
func set[T any](to *T, flag *T) {
	if flag != nil {
		*to = *flag
	}
}

// read reads a plan file into the settings; an empty name leaves them unchanged.
func read(plan string, into *emulator.Config) error {
	if plan == "" {
		return nil
	}
	f, err := os.Open(plan)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := emulator.ReadPlan(f, into); err != nil {
		return fmt.Errorf("%s: %w", plan, err)
	}
	return nil
}

// compares reports whether two settings are compared.
func (c *emulateCommand) compares() bool {
	return c.Against != "" || c.AgainstWith != "" || c.AgainstSeed != 0
}

// otherConfig returns the second settings of a comparison.
func (c *emulateCommand) otherConfig(cfg emulator.Config) (emulator.Config, error) {
	if err := read(c.Against, &cfg); err != nil {
		return cfg, err
	}
	if c.AgainstWith != "" {
		cfg.Policy = c.AgainstWith
	}
	if c.AgainstSeed != 0 {
		cfg.PolicySeed = c.AgainstSeed
	}
	return cfg, cfg.Check()
}

// Validate checks the arguments and the plans.
func (c *emulateCommand) Validate() error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	if c.compares() && (c.CSV != "" || c.Measure) {
		return errors.New("--csv and --measure apply to a single day only")
	}
	if c.Days < 1 {
		return fmt.Errorf("--days: %d; want 1 or more", c.Days)
	}
	_, err = c.otherConfig(cfg)
	return err
}

// Run simulates one day, or several with both settings of a comparison.
func (c *emulateCommand) Run(ctx context.Context, out io.Writer) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	if c.compares() {
		return c.compare(ctx, cfg, out)
	}
	var o emulator.Options
	began := time.Now()
	if c.Measure {
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	r, err := emulator.Run(ctx, cfg, o)
	if err != nil {
		return err
	}
	took := time.Since(began)
	if err := r.Write(out); err != nil {
		return err
	}
	if c.Measure {
		writeUsage(out, r, took)
	}
	if err := save(c.JSON, r.WriteJSON); err != nil {
		return err
	}
	if err := save(c.CSV, r.WriteRows); err != nil {
		return err
	}
	if !r.Ok() {
		return errBroken
	}
	return nil
}

// module is the policy that must obey all rules; the textbook policies do not treat cold servers specially.
const module = "module"

// compare simulates the days with both settings and writes the comparison.
func (c *emulateCommand) compare(ctx context.Context, cfg emulator.Config, out io.Writer) error {
	other, err := c.otherConfig(cfg)
	if err != nil {
		return err
	}
	workers := c.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	result, err := emulator.Compare(ctx, cfg, other, c.Days, workers)
	if err != nil {
		return err
	}
	if err := result.Write(out); err != nil {
		return err
	}
	if err := save(c.JSON, result.WriteJSON); err != nil {
		return err
	}
	if cfg.Policy == module && result.BrokenA > 0 || other.Policy == module && result.BrokenB > 0 {
		return errBroken
	}
	return nil
}

// writeUsage writes the time and memory that simulating the day took on this machine.
func writeUsage(out io.Writer, r *emulator.Report, took time.Duration) {
	var use syscall.Rusage
	memory := "unknown"
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		memory = fmt.Sprintf("%d MB", use.Maxrss/1024)
	}
	requests := max(1, r.Requests)
	fmt.Fprintf(out, "measured  %.2f s for %.0f s: %.1f times real time, %.0f requests per second, %d events; "+
		"in the policy %.1f us per request; peak memory %s\n", took.Seconds(), r.Seconds, r.Seconds/took.Seconds(),
		float64(r.Requests)/took.Seconds(), r.Events, float64(r.InPolicy.Microseconds())/float64(requests), memory)
}

// save writes a file, unless its name is empty.
func save(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
