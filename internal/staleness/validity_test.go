package staleness

import (
	"plankrouter/internal/shutdown"
	"testing"
	"time"
)

// A first byte that its guard lets pass at the last moment goes out within the grace of a drain, although the process is held up between the
// two; nothing was seen of this by users, it is the same mistake as that of requests lost at the end of a process: a lead that does not bear
// the steps that follow it.
func TestDrainLimitsBearAStall(t *testing.T) {
	for grace := 300 * time.Millisecond; grace <= 5*time.Second; grace += 50 * time.Millisecond {
		pick, write := DrainLimits(grace)
		if write+shutdown.MaxStall > grace || pick > write || pick < 0 {
			t.Errorf("grace %s: picked until %s, written until %s", grace, pick, write)
		}
	}
}
