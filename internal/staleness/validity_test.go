package staleness

import (
	"testing"
	"time"

	"plankrouter/internal/shutdown"
)

const ms = time.Millisecond

// Whatever the drain grace, a server is picked early enough to establish a connection, and no first byte is written in its
// last 100 ms.
func TestDrainLimits(t *testing.T) {
	for _, grace := range []time.Duration{0, 50 * ms, 100 * ms, 200 * ms, 750 * ms, 2000 * ms} {
		pickFor, writeFor := DrainLimits(grace)
		if pickFor < 0 || writeFor > max(0, grace-100*ms) || pickFor > writeFor || grace >= 200*ms && pickFor < grace/4 {
			t.Errorf("%s: picked until %s, written until %s", grace, pickFor, writeFor)
		}
	}
}

// A first byte that is permitted at the last possible time is sent within the drain grace, even if the process stalls in
// between.
func TestDrainLimitsLeaveTimeForStall(t *testing.T) {
	for grace := 300 * time.Millisecond; grace <= 5*time.Second; grace += 50 * time.Millisecond {
		pickFor, writeFor := DrainLimits(grace)
		if writeFor+shutdown.MaxStall > grace || pickFor > writeFor || pickFor < 0 {
			t.Errorf("grace %s: picked until %s, written until %s", grace, pickFor, writeFor)
		}
	}
}
