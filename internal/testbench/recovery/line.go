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

const endWithin = 20 * time.Second // of a process, after SIGTERM

// line is the processes of one program at one address, of which one serves and the others have been before it. Its
// methods are not safe for concurrent use.
type line struct {
	program string
	env     []string
	address string
	network fakes.Network
	log     *processLog
	main    *process
	served  []*process // all that have been main
	known   []*process // all, successors that never served included
}

// start starts a process that has no predecessor, and waits until it serves.
func (l *line) start(ctx context.Context) error {
	cmd := exec.Command(l.program)
	cmd.Env, cmd.Stdout, cmd.Stderr = l.env, l.log.writer, l.log.writer // a successor writes there, too
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the program: %w", err)
	}
	p := l.adopt(cmd.Process)
	p.watch(l.log)
	l.take(p)
	ctx, cancel := context.WithTimeout(ctx, maxAwait)
	defer cancel()
	if err := fakes.AwaitReady(ctx, l.network, l.address); err != nil {
		return fmt.Errorf("process %d (%s): %w", p.Pid, p.fate(), err)
	}
	return nil
}

// adopt makes a process known, so that it will be ended whatever happens.
func (l *line) adopt(found *os.Process) *process {
	p := &process{Process: found, exited: make(chan struct{})}
	l.known = append(l.known, p)
	return p
}

// take makes a process the one that serves.
func (l *line) take(p *process) {
	l.main = p
	l.served = append(l.served, p)
}

// ended waits until p has ended.
func ended(ctx context.Context, p *process) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(endWithin):
		return fmt.Errorf("process %d has not ended within %s", p.Pid, endWithin)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop sends the serving process SIGTERM, twice so that it ends at once, and waits until it has ended.
func (l *line) stop(ctx context.Context) error {
	from := l.log.mark()
	_ = l.main.Signal(syscall.SIGTERM)
	if _, err := l.log.await(ctx, from, l.main, "state=stopping"); err != nil {
		return err
	}
	_ = l.main.Signal(syscall.SIGTERM)
	return ended(ctx, l.main)
}

// faults says which processes ended in a way that they should not have.
func (l *line) faults() (faults []string) {
	for _, p := range l.served {
		if err := p.fault(); err != nil {
			faults = append(faults, err.Error())
		}
	}
	return faults
}

// close ends whatever still runs, and returns when all that was printed has been kept.
func (l *line) close() {
	if l.main != nil && l.main.running() {
		if pid := childOf(l.main.Pid); pid != 0 {
			_, _ = l.byPid(pid)
		}
	}
	for _, p := range l.known {
		p.kill()
	}
	l.log.close()
}

// phases is how long a hot restart took.
type phases struct {
	start time.Duration // from the signal until the successor was ready
	pass  time.Duration // from there until it had everything
	total time.Duration // from the signal until the predecessor had ended
}

// handOver lets the process that serves hand over to a successor, and returns when that has everything and the other
// one has ended.
func (l *line) handOver(ctx context.Context) (t phases, err error) {
	from, old, began := l.log.mark(), l.main, time.Now()
	if err := old.Signal(syscall.SIGUSR2); err != nil {
		return t, fmt.Errorf("signal process %d: %w", old.Pid, err)
	}
	text, err := l.log.await(ctx, from, old, "handover=passing", "handover=failed", "handover=refused")
	if err != nil {
		return t, err
	}
	t.start = time.Since(began)
	next, err := l.successor(text)
	if err != nil {
		return t, err
	}
	text, err = l.log.await(ctx, from, old, "handover=done", "handover=lost")
	if err != nil || strings.Contains(text, "handover=lost") {
		return t, errors.Join(err, errors.New(text))
	}
	t.pass = time.Since(began) - t.start
	if err := ended(ctx, old); err != nil {
		return t, err
	}
	t.total = old.endedAt.Sub(began)
	next.watch(l.log)
	l.take(next)
	_, err = l.log.await(ctx, from, next, "handover=complete")
	return t, err
}

// successor is the process that a predecessor's log line names.
func (l *line) successor(text string) (*process, error) {
	_, number, found := strings.Cut(text, "successor=")
	number, _, _ = strings.Cut(number, " ")
	pid, err := strconv.Atoi(number)
	if !found || err != nil {
		return nil, errors.New(text)
	}
	return l.byPid(pid)
}

// byPid meets a process that this one has not started itself.
func (l *line) byPid(pid int) (*process, error) {
	found, err := os.FindProcess(pid)
	if err != nil {
		return nil, fmt.Errorf("process %d: %w", pid, err)
	}
	return l.adopt(found), nil
}
