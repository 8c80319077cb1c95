// Package process starts processes and measures their CPU time and memory, the load of the machine's processors, and the
// delay of timers. The last two show how reliable a measurement is. Linux only.
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

// CPUTime returns the user and system CPU time that a process has used so far. Unlike /proc/PID/stat, which has ticks of
// 10 ms, it has nanosecond resolution.
func CPUTime(pid int) (time.Duration, error) {
	const cpuClock, perProcess = 2, 3 // clock_gettime(2): id of a process's CPU clock, ^pid shifted by 3 bits and clock type 2
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<perProcess|cpuClock), &t); err != nil {
		return 0, fmt.Errorf("the CPU clock of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// ResidentMemory returns the resident set size of a process in bytes.
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
	timerCheckInterval = 10 * time.Millisecond // interval at which the delay of timers is measured
	userHZTick         = 10 * time.Millisecond // unit of /proc/stat: USER_HZ is 100 on Linux
)

// LoadMonitor measures the load of the machine by all its processes. Its methods must be called from one goroutine.
type LoadMonitor struct {
	maxTimerDelay atomic.Int64 // longest delay of a timer since the last sample, in ns
	stop          chan struct{}

	lastSample time.Time
	busyTime   time.Duration // of all processors, until the last sample
}

// StartLoadMonitor starts a monitor that runs until Close.
func StartLoadMonitor() *LoadMonitor {
	n := &LoadMonitor{stop: make(chan struct{}), lastSample: time.Now(), busyTime: machineBusyTime()}
	go func() {
		for before := time.Now(); ; before = time.Now() {
			select {
			case <-n.stop:
				return
			case <-time.After(timerCheckInterval):
			}
			for late := int64(time.Since(before) - timerCheckInterval); ; {
				longest := n.maxTimerDelay.Load()
				if late <= longest || n.maxTimerDelay.CompareAndSwap(longest, late) {
					break
				}
			}
		}
	}()
	return n
}

// Close stops the monitor.
func (b *LoadMonitor) Close() { close(b.stop) }

// Sample returns the longest delay of a timer and the mean number of busy processors since the last sample; 0 processors
// also means unknown.
func (b *LoadMonitor) Sample() (late time.Duration, cores float64) {
	now, busy := time.Now(), machineBusyTime()
	cores = max(0, (busy-b.busyTime).Seconds()/now.Sub(b.lastSample).Seconds())
	b.lastSample, b.busyTime = now, busy
	return time.Duration(b.maxTimerDelay.Swap(0)), cores
}

// machineBusyTime returns the sum of all processors' non-idle time; 0 = unknown.
func machineBusyTime() (sum time.Duration) {
	raw, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, field := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // the name, idle, iowait, and guest times, which user time includes
			continue
		}
		ticks, _ := strconv.ParseInt(field, 10, 64)
		sum += time.Duration(ticks) * userHZTick
	}
	return sum
}
