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
	stopTimeout    = 10 * time.Second      // time from SIGTERM to SIGKILL
	signalInterval = 50 * time.Millisecond // between SIGTERMs, since signals sent at the same time may be merged into one
)

// Program is a child process.
type Program struct {
	cmd    *exec.Cmd
	exited chan error
}

// Start starts a command, pinned to the given core unless that is negative. It sets the affinity of the calling thread for
// the start, since a child process inherits it.
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
		defer func() { _ = unix.SchedSetaffinity(0, &before) }() // restores a mask that was allowed before, so it can't fail
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start the program: %w", err)
	}
	p := &Program{cmd, make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	return p, nil
}

// Pid returns the process id.
func (p *Program) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Program) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Stop sends SIGTERM until the process has ended, repeatedly so that it ends without a grace period, and returns its exit
// error. After 10 s it kills the process. It must be called once only.
func (p *Program) Stop() error {
	again := time.NewTicker(signalInterval)
	defer again.Stop()
	late := time.After(stopTimeout)
	for {
		_ = p.Signal(syscall.SIGTERM)
		select {
		case err := <-p.exited:
			return err
		case <-again.C:
		case <-late:
			p.cmd.Process.Kill()
			return errors.Join(fmt.Errorf("process %d did not end within %s of SIGTERM", p.Pid(), stopTimeout), <-p.exited)
		}
	}
}
