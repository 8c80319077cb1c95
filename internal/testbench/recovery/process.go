package recovery

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// AdoptOrphans makes this process the parent of descendants whose own parent exits, as a successor's does; otherwise their exit
// status would be lost. It affects the whole process: call it once, at the start of the program.
func AdoptOrphans() error {
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("prctl: adopt orphans: %w", err)
	}
	return nil
}

// process is one process of the program.
type process struct {
	*os.Process
	exited  chan struct{}
	state   *os.ProcessState // this and the following are set once it has exited
	err     error            // from waiting for its exit
	endedAt time.Time
	killed  atomic.Bool // by the test bench
}

// watch starts a goroutine that waits for the process's exit and records it in the log. The process must be a child of this one,
// if only through AdoptOrphans.
func (p *process) watch(log *processLog) {
	go func() {
		p.state, p.err = p.Wait()
		p.endedAt = time.Now()
		close(p.exited)
		log.end(p)
	}()
}

// lastLine returns the line that end writes to the log when the process has exited.
func (p *process) lastLine() string { return fmt.Sprintf("testbench: process %d has ended", p.Pid) }

// kill sends SIGKILL, unless the process has exited.
func (p *process) kill() {
	if p.running() {
		p.killed.Store(true)
		p.Kill()
	}
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// status describes whether the process runs, or how it exited.
func (p *process) status() string {
	switch {
	case p.running():
		return "running"
	case p.err != nil:
		return p.err.Error()
	}
	return p.state.String()
}

// fault returns an error if the process exited unexpectedly.
func (p *process) fault() error {
	if p.running() || p.killed.Load() || p.err == nil && p.state.Success() {
		return nil
	}
	return fmt.Errorf("process %d exited unexpectedly: %s", p.Pid, p.status())
}

// Indexes of fields in /proc/PID/stat after the name in brackets, which may contain anything.
const (
	statParent = 1
	statFlags  = 6
	// PF_FORKNOEXEC: the process still runs its parent's program, like the child with which the Go runtime checks for pidfd
	// support.
	forkNoExec = 0x40
)

// childOf returns the id of a child process that runs its own program, 0 if there is none. It checks the newest processes
// first, since the child has usually just been started and must be found before the handover proceeds.
func childOf(parent int) int {
	folder, err := os.Open("/proc")
	if err != nil {
		return 0
	}
	defer folder.Close()
	names, _ := folder.Readdirnames(0) // sorted by id
	for _, name := range slices.Backward(names) {
		pid, err := strconv.Atoi(name)
		if err != nil {
			continue
		}
		raw, err := os.ReadFile("/proc/" + name + "/stat")
		if err != nil {
			continue // it has exited
		}
		fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
		if len(fields) <= statFlags || string(fields[statParent]) != strconv.Itoa(parent) {
			continue
		}
		if flags, err := strconv.Atoi(string(fields[statFlags])); err == nil && flags&forkNoExec == 0 {
			return pid
		}
	}
	return 0
}
