package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"plankrouter/internal/testbench/peers"
)

// peersCommand runs one sidecar beside slow, large, many or rude peers.
type peersCommand struct {
	Program  string        `default:"bin/plankrouter" placeholder:"FILE" help:"The sidecar's program."`
	Scenario []string      `placeholder:"NAME" help:"A scenario, or the beginning of several names; may be repeated. Default: all."`
	MemoryMB int           `default:"192" help:"The sidecar's memory limit, in MB."`
	Sockets  int           `default:"1024" help:"The sidecar's limit on sockets."`
	Clients  int           `default:"200" help:"Number of troublesome clients, where a scenario has many."`
	For      time.Duration `default:"8s" help:"How long a crowd or a flood lasts."`
	Trace    string        `placeholder:"DIR" help:"Write the sidecar's trace of each scenario here."`
	List     bool          `help:"Print the names of the scenarios, and run none."`
}

// Run runs the scenarios one after another.
func (c *peersCommand) Run(ctx context.Context, out io.Writer) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	broken, played := 0, 0
	for _, name := range peers.Names() {
		if !c.chosen(name) || ctx.Err() != nil {
			continue
		}
		played++
		if c.List {
			fmt.Fprintln(out, name)
			continue
		}
		result, err := c.play(ctx, program, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		result.Write(out, name)
		if len(result.Violations) > 0 {
			broken++
		}
	}
	fmt.Fprintf(out, "%d of %d scenarios violated a rule\n", broken, played)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// chosen reports whether the scenario is to be run.
func (c *peersCommand) chosen(name string) bool {
	for _, beginning := range c.Scenario {
		if strings.HasPrefix(name, beginning) {
			return true
		}
	}
	return len(c.Scenario) == 0
}

// play runs one scenario in a temporary folder, or in a folder for its trace.
func (c *peersCommand) play(ctx context.Context, program, name string) (*peers.Result, error) {
	dir := filepath.Join(c.Trace, strings.ReplaceAll(name, "/", "-"))
	if c.Trace == "" {
		temporary, err := os.MkdirTemp("", "peers-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(temporary) }() // what is left is in the folder for temporary files
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return peers.Run(ctx, name, peers.Options{
		Program: program, Dir: dir, MemoryMB: c.MemoryMB, Sockets: c.Sockets, Clients: c.Clients, For: c.For, Keep: c.Trace != "",
	})
}
