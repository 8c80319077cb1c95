// Package process is what the test bench knows of processes and of the machine that they run on: what one has used, how busy all
// processors are, and how late timers come. How far a measurement can be relied on depends on the last two. Linux only.
package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// CPUTime is the processor time that a process has used so far, user and system: the clock that /proc/PID/stat shows in ticks
// of 10 ms, read in nanoseconds.
func CPUTime(pid int) (time.Duration, error) {
	const cpuClock, perProcess = 2, 3 // clock_gettime(2): a process's CPU clock has its id's complement above three bits
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<perProcess|cpuClock), &t); err != nil {
		return 0, fmt.Errorf("the CPU clock of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// ResidentMemory is the memory that a process holds, in bytes.
func ResidentMemory(pid int) (int64, error) {
	file := fmt.Sprintf("/proc/%d/statm", pid)
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s: %q", file, raw)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

const (
	lateTick = 10 * time.Millisecond // between two looks at whether timers come late
	userTick = 10 * time.Millisecond // the unit of /proc/stat: USER_HZ is 100 on Linux
)

// LoadMonitor sees how busy the machine is with all that runs on it. Its methods are for one goroutine.
type LoadMonitor struct {
	late atomic.Int64 // by so many ns a timer has come late, at most, since the last look
	stop chan struct{}

	lastLook time.Time
	busy     time.Duration // of all processors, until then
}

// StartLoadMonitor begins to look, until Close.
func StartLoadMonitor() *LoadMonitor {
	n := &LoadMonitor{stop: make(chan struct{}), lastLook: time.Now(), busy: machineBusy()}
	go func() {
		for before := time.Now(); ; before = time.Now() {
			select {
			case <-n.stop:
				return
			case <-time.After(lateTick):
			}
			for late := int64(time.Since(before) - lateTick); ; {
				longest := n.late.Load()
				if late <= longest || n.late.CompareAndSwap(longest, late) {
					break
				}
			}
		}
	}()
	return n
}

// Close ends it.
func (b *LoadMonitor) Close() { close(b.stop) }

// Sample returns, since the last look, by how much a timer has come late at most, and how many processors were busy; 0 = not
// known.
func (b *LoadMonitor) Sample() (late time.Duration, cores float64) {
	now, busy := time.Now(), machineBusy()
	cores = max(0, (busy-b.busy).Seconds()/now.Sub(b.lastLook).Seconds())
	b.lastLook, b.busy = now, busy
	return time.Duration(b.late.Swap(0)), cores
}

// machineBusy is the time of all processors that was not idle; 0 = not known.
func machineBusy() (sum time.Duration) {
	raw, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, field := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // the name, idle, waiting for disks, and guests, who are counted already
			continue
		}
		ticks, _ := strconv.ParseInt(field, 10, 64)
		sum += time.Duration(ticks) * userTick
	}
	return sum
}
