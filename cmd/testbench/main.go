// Command testbench measures the sidecar's program with scripted fake clients, servers and discovery.
// docs/operate/measuring.md explains the results.
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
	exitBroken = 1 // a rule was violated, a process crashed, or nothing could be measured
	exitUsage  = 2
)

// errBroken is returned after a report that contains violations.
var errBroken = errors.New("a rule was violated or a process crashed: see above")

// commands are the subcommands.
type commands struct {
	Recover     recoverCommand     `cmd:"" help:"Measures how long service takes to recover after a release, a crash and other events."`
	Handover    handoverCommand    `cmd:"" help:"Measures the effect of a long series of hot restarts."`
	Soak        soakCommand        `cmd:"" help:"Searches for rare bugs: real sidecars, injected faults that overlap in time, and a judge."`
	Peers       peersCommand       `cmd:"" help:"Runs one sidecar beside slow, large, many or rude peers, one kind at a time."`
	Load        loadCommand        `cmd:"" help:"Sends load that does not wait for responses, and measures it."`
	Fleet       fleetCommand       `cmd:"" help:"Adds up what a whole fleet sent to servers and discovery, from its sidecars' logs."`
	Capacity    capacityCommand    `cmd:"" help:"Measures the cost of a sidecar for each server, request, probe, change and connection."`
	Emulate     emulateCommand     `cmd:"" help:"Runs a fleet in virtual time, with faults and a judge, and compares policies."`
	FleetScenes fleetScenesCommand `cmd:"" help:"Runs fleets of thousands of simulated sidecars in a few processes."`
	FleetPart   fleetPartCommand   `cmd:"" hidden:"" help:"A process started by fleet-scenes."`
	Overload    overloadCommand    `cmd:"" help:"Runs the overload test in virtual time: the same traffic from more and more sidecars."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c commands
	helpShown := false
	parser, err := kong.New(&c, kong.Name("testbench"), kong.Description("Measures the sidecar's program, and runs fleets of sidecars."),
		kong.Writers(out, errOut), kong.Exit(func(int) { helpShown = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errOut, "testbench:", err)
		return exitBroken
	}
	chosen, err := parser.Parse(args)
	switch {
	case helpShown:
		return 0
	case err != nil:
		fmt.Fprintf(errOut, "testbench: %v; see testbench --help\n", err)
		return exitUsage
	}
	if err := recovery.AdoptOrphans(); err != nil {
		fmt.Fprintln(errOut, "testbench:", err)
		return exitBroken
	}
	chosen.BindTo(ctx, (*context.Context)(nil))
	chosen.BindTo(out, (*io.Writer)(nil))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(errOut, "testbench:", err)
		return exitBroken
	}
	return 0
}
