// Command testbench starts the sidecar's program between scripted fakes and measures.
// docs/operate/measuring.md explains its results.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"plankrouter/internal/testbench/recovery"
)

// The exit codes.
const (
	exitBroken = 1 // a rule is broken, a process has crashed, or nothing could be measured
	exitUsage  = 2
)

// errBroken says that a report names what is broken.
var errBroken = errors.New("a rule is broken, or a process has crashed: see above")

// commands are the subcommands.
type commands struct {
	Recover     recoverCommand     `cmd:"" help:"How long until service is back after a release, a crash and more."`
	Handover    handoverCommand    `cmd:"" help:"What a long line of hot restarts costs."`
	Soak        soakCommand        `cmd:"" help:"Hunts rare faults: real sidecars, faults that overlap in time, and a judge."`
	Load        loadCommand        `cmd:"" help:"Sends load that does not wait for answers, and measures it."`
	Fleet       fleetCommand       `cmd:"" help:"Counts what a whole fleet sent to servers and discovery, from its sidecars' logs."`
	Capacity    capacityCommand    `cmd:"" help:"What a sidecar costs for each server, call, probe, change and connection."`
	Emulate     emulateCommand     `cmd:"" help:"A fleet in virtual time: faults, a judge, and policies to compare."`
	FleetScenes fleetScenesCommand `cmd:"" help:"Plays fleets of thousands of simulated sidecars in a few processes."`
	FleetPart   fleetPartCommand   `cmd:"" hidden:"" help:"A process of fleet-scenes, which starts it."`
	Overload    overloadCommand    `cmd:"" help:"The scale test of overload, in virtual time: the same traffic by ever more sidecars."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, problems io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c commands
	helped := false
	parser, err := kong.New(&c, kong.Name("testbench"), kong.Description("Measures the sidecar's program and plays fleets of it."),
		kong.Writers(out, problems), kong.Exit(func(int) { helped = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(problems, "testbench:", err)
		return exitBroken
	}
	chosen, err := parser.Parse(args)
	switch {
	case helped:
		return 0
	case err != nil:
		fmt.Fprintf(problems, "testbench: %v; see testbench --help\n", err)
		return exitUsage
	}
	if err := recovery.AdoptOrphans(); err != nil {
		fmt.Fprintln(problems, "testbench:", err)
		return exitBroken
	}
	chosen.BindTo(ctx, (*context.Context)(nil))
	chosen.BindTo(out, (*io.Writer)(nil))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(problems, "testbench:", err)
		return exitBroken
	}
	return 0
}
