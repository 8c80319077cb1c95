package process

import (
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	endWithin      = 10 * time.Second      // of SIGTERM
	signalInterval = 50 * time.Millisecond // two signals that come at once are one
)

// Program is a process that this one has started.
type Program struct {
	cmd    *exec.Cmd
	exited chan error
}

// Start starts a command that may use one core of the machine only; below 0 it may use all. A child has its parent's thread's
// cores.
func Start(cmd *exec.Cmd, core int) (*Program, error) {
	if core >= 0 {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		var before, one unix.CPUSet
		if err := unix.SchedGetaffinity(0, &before); err != nil {
			return nil, err
		}
		one.Set(core)
		if err := unix.SchedSetaffinity(0, &one); err != nil {
			return nil, fmt.Errorf("core %d: %w", core, err)
		}
		defer func() { _ = unix.SchedSetaffinity(0, &before) }() // it was allowed before
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start the program: %w", err)
	}
	p := &Program{cmd, make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	return p, nil
}

// Pid is its id.
func (p *Program) Pid() int { return p.cmd.Process.Pid }

// Signal sends it a signal.
func (p *Program) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Stop sends SIGTERM until the process has ended, repeatedly so that it ends at once, and returns its exit error. Call it once.
func (p *Program) Stop() error {
	again := time.NewTicker(signalInterval)
	defer again.Stop()
	late := time.After(endWithin)
	for {
		_ = p.Signal(syscall.SIGTERM)
		select {
		case err := <-p.exited:
			return err
		case <-again.C:
		case <-late:
			p.cmd.Process.Kill()
			return errors.Join(fmt.Errorf("process %d has not ended within %s of SIGTERM", p.Pid(), endWithin), <-p.exited)
		}
	}
}
