package recovery

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const exitTimeout = 20 * time.Second // for the exit of a process after SIGTERM or SIGKILL

// processChain is the sequence of processes of one program at one address, the latest of which serves. Its methods are not safe
// for concurrent use.
type processChain struct {
	program string
	env     []string
	address string
	network fakes.Network
	log     *processLog
	main    *process   // the one that serves
	served  []*process // all that are or were main
	known   []*process // all, including successors that never served
}

// start starts a process without a predecessor, and waits until it serves.
func (c *processChain) start(ctx context.Context) error {
	cmd := exec.Command(c.program)
	cmd.Env, cmd.Stdout, cmd.Stderr = c.env, c.log.writer, c.log.writer // inherited by successors
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the program: %w", err)
	}
	p := c.track(cmd.Process)
	p.watch(c.log)
	c.setMain(p)
	ctx, cancel := context.WithTimeout(ctx, maxAwait)
	defer cancel()
	if err := fakes.AwaitReady(ctx, c.network, c.address); err != nil {
		return fmt.Errorf("process %d (%s): %w", p.Pid, p.status(), err)
	}
	return nil
}

// track adds a process to those that close kills.
func (c *processChain) track(found *os.Process) *process {
	p := &process{Process: found, exited: make(chan struct{})}
	c.known = append(c.known, p)
	return p
}

// setMain records p as the process that serves.
func (c *processChain) setMain(p *process) {
	c.main = p
	c.served = append(c.served, p)
}

// awaitExit waits until p has exited.
func awaitExit(ctx context.Context, p *process) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(exitTimeout):
		return fmt.Errorf("process %d has not exited within %s", p.Pid, exitTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop sends the serving process SIGTERM, twice so that it exits at once, and waits until it has exited.
func (c *processChain) stop(ctx context.Context) error {
	from := c.log.mark()
	_ = c.main.Signal(syscall.SIGTERM)
	if _, err := c.log.await(ctx, from, c.main, "state=stopping"); err != nil {
		return err
	}
	_ = c.main.Signal(syscall.SIGTERM)
	return awaitExit(ctx, c.main)
}

// faults describes the processes that exited unexpectedly.
func (c *processChain) faults() (faults []string) {
	for _, p := range c.served {
		if err := p.fault(); err != nil {
			faults = append(faults, err.Error())
		}
	}
	return faults
}

// close kills all running processes, and returns once all their output is recorded.
func (c *processChain) close() {
	if c.main != nil && c.main.running() {
		if pid := childOf(c.main.Pid); pid != 0 {
			_, _ = c.byPid(pid)
		}
	}
	for _, p := range c.known {
		p.kill()
	}
	c.log.close()
}

// phases holds the durations of the phases of a hot restart.
type phases struct {
	start time.Duration // from the signal until the successor was ready
	pass  time.Duration // from then until it had all connections
	total time.Duration // from the signal until the predecessor had exited
}

// handOver has the serving process hand over to a successor, and returns when the successor has all connections and the
// predecessor has exited.
func (c *processChain) handOver(ctx context.Context) (t phases, err error) {
	from, old, began := c.log.mark(), c.main, time.Now()
	if err := old.Signal(syscall.SIGUSR2); err != nil {
		return t, fmt.Errorf("signal process %d: %w", old.Pid, err)
	}
	text, err := c.log.await(ctx, from, old, "handover=passing", "handover=failed", "handover=refused")
	if err != nil {
		return t, err
	}
	t.start = time.Since(began)
	next, err := c.successor(text)
	if err != nil {
		return t, err
	}
	text, err = c.log.await(ctx, from, old, "handover=done", "handover=lost")
	if err != nil || strings.Contains(text, "handover=lost") {
		return t, errors.Join(err, errors.New(text))
	}
	t.pass = time.Since(began) - t.start
	if err := awaitExit(ctx, old); err != nil {
		return t, err
	}
	t.total = old.endedAt.Sub(began)
	next.watch(c.log)
	c.setMain(next)
	_, err = c.log.await(ctx, from, next, "handover=complete")
	return t, err
}

// successor returns the process that a log line of its predecessor names.
func (c *processChain) successor(text string) (*process, error) {
	_, number, found := strings.Cut(text, "successor=")
	number, _, _ = strings.Cut(number, " ")
	pid, err := strconv.Atoi(number)
	if !found || err != nil {
		return nil, errors.New(text)
	}
	return c.byPid(pid)
}

// byPid returns a process that was not started by this one directly, and tracks it.
func (c *processChain) byPid(pid int) (*process, error) {
	found, err := os.FindProcess(pid)
	if err != nil {
		return nil, fmt.Errorf("process %d: %w", pid, err)
	}
	return c.track(found), nil
}
