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

// AdoptOrphans makes this process the parent of those whose own parent ends, as a successor's does: otherwise their exit
// status would be lost. It concerns the whole process; call it once, at the start of the program.
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
	state   *os.ProcessState // once it has ended, as the rest
	err     error            // that its end could not be seen
	endedAt time.Time
	killed  atomic.Bool // by this side
}

// watch waits for its end, in a goroutine of its own, and notes that in the log. It must be this process's child, or
// have become so.
func (p *process) watch(log *processLog) {
	go func() {
		p.state, p.err = p.Wait()
		p.endedAt = time.Now()
		close(p.exited)
		log.end(p)
	}()
}

// lastLine is what the log says when it has ended.
func (p *process) lastLine() string { return fmt.Sprintf("testbench: process %d has ended", p.Pid) }

// kill sends SIGKILL, unless the process has ended by itself.
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

// fate describes how it ended.
func (p *process) fate() string {
	switch {
	case p.running():
		return "running"
	case p.err != nil:
		return p.err.Error()
	}
	return p.state.String()
}

// fault says how it ended in a way that it should not have.
func (p *process) fault() error {
	if p.running() || p.killed.Load() || p.err == nil && p.state.Success() {
		return nil
	}
	return fmt.Errorf("process %d ended by itself: %s", p.Pid, p.fate())
}

// The fields of /proc/PID/stat behind the name in brackets, which may hold anything.
const (
	statParent   = 1
	statFlags    = 6
	notYetItself = 0x40 // PF_FORKNOEXEC: it runs its parent's program, as one that Go tries out pidfds with
)

// childOf returns the id of the program that a process has started, 0 if it has started none. It looks at the newest
// processes first: the child is mostly a moment old, and what is done about it should not come too late.
func childOf(parent int) int {
	folder, err := os.Open("/proc")
	if err != nil {
		return 0
	}
	defer folder.Close()
	names, _ := folder.Readdirnames(0) // by id
	for _, name := range slices.Backward(names) {
		pid, err := strconv.Atoi(name)
		if err != nil {
			continue
		}
		raw, err := os.ReadFile("/proc/" + name + "/stat")
		if err != nil {
			continue // it has ended
		}
		fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
		if len(fields) <= statFlags || string(fields[statParent]) != strconv.Itoa(parent) {
			continue
		}
		if flags, err := strconv.Atoi(string(fields[statFlags])); err == nil && flags&notYetItself == 0 {
			return pid
		}
	}
	return 0
}
