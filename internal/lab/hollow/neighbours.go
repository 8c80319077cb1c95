package hollow

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const stallTick = 10 * time.Millisecond

// neighbours sees how busy the machine is with all that runs on it: what a figure is worth depends on that.
type neighbours struct {
	late atomic.Int64 // by so many ns a timer has come late, at most, since the last look
	stop chan struct{}

	at   time.Time
	busy time.Duration // of all processors, until then
}

func watchNeighbours() *neighbours {
	n := &neighbours{stop: make(chan struct{}), at: time.Now(), busy: machineBusy()}
	go func() {
		for before := time.Now(); ; before = time.Now() {
			select {
			case <-n.stop:
				return
			case <-time.After(stallTick):
			}
			for late := int64(time.Since(before) - stallTick); ; {
				most := n.late.Load()
				if late <= most || n.late.CompareAndSwap(most, late) {
					break
				}
			}
		}
	}()
	return n
}

func (n *neighbours) close() { close(n.stop) }

// look returns, since the last look, by how much a timer has come late at most, and how many processors were busy; 0 = not known.
func (n *neighbours) look() (late time.Duration, cores float64) {
	now, busy := time.Now(), machineBusy()
	cores = max(0, (busy-n.busy).Seconds()/now.Sub(n.at).Seconds())
	n.at, n.busy = now, busy
	return time.Duration(n.late.Swap(0)), cores
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
		sum += time.Duration(ticks) * tick
	}
	return sum
}
