package streaming

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// receive has the pace receive size bytes in pieces, after a pause each, while its reader waits all the time. It returns the time
// since start at which the sender has timed out; 0 = it has not.
func receive(start time.Time, size, piece int, pause time.Duration) time.Duration {
	p := NewPace(start)
	deadline := p.StartWaiting(start)
	now := start
	for size > 0 {
		now = now.Add(pause)
		if !now.Before(deadline) {
			return deadline.Sub(start)
		}
		n := min(piece, size)
		deadline = p.Progress(n, now, 0)
		size -= n
	}
	return 0
}

// A body at 64 kB/s is not timed out, in pieces of any size that leaves no pause too long. A long pause or a rate below the
// minimum is, within the 3 s in which a sender that has stopped has to be told.
func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		size, piece int
		pause, want time.Duration
	}{
		"64 kB each second":         {32 << 20, 64000, 1000 * ms, 0},
		"96 KiB each 1.5 s":         {256 << 10, 96 << 10, 1500 * ms, 0},
		"160 kB each 2.5 s":         {32 << 20, 160000, 2500 * ms, 0},
		"6.4 kB each 0.1 s":         {1 << 20, 6400, 100 * ms, 0},
		"nothing":                   {1 << 20, 1, 3000 * ms, maxPause},
		"a byte each 0.5 s":         {1 << 20, 1, 500 * ms, rateGrace},
		"16 KiB each second":        {1 << 20, 16 << 10, 1000 * ms, rateGrace + 6*16*time.Second/24},
		"24 KiB each second, twice": {48 << 10, 24 << 10, 1000 * ms, 0},
	} {
		if got := receive(start, tc.size, tc.piece, tc.pause); got.Round(200*ms) != tc.want.Round(200*ms) {
			t.Errorf("%s: timed out after %s, want %s", name, got, tc.want)
		}
	}
	if maxPause+minWait > 3*time.Second {
		t.Errorf("a sender that has stopped is told after %s", maxPause+minWait)
	}
}

// Time in which nobody reads the body doesn't count against the sender's rate, since it is held back. But a sender that has sent
// nothing meanwhile has made the same pause.
func TestPaceWhileBodyIsNotRead(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	p := NewPace(start)
	p.StartWaiting(start)
	p.Progress(8<<10, at(100*ms), 0)
	if got := p.StartWaiting(at(1100 * ms)).Sub(start); got != 100*ms+maxPause {
		t.Errorf("read again 1 s after the last bytes: until %s, want %s", got, 100*ms+maxPause)
	}
	if got := p.StartWaiting(at(20_000 * ms)).Sub(start); got != 20_000*ms+minWait {
		t.Errorf("read again long after the last bytes: until %s, want %s", got, 20_000*ms+minWait)
	}
	if got := p.Progress(8<<10, at(20_010*ms), 10*ms).Sub(start); got != 20_000*ms+maxPause {
		t.Errorf("after bytes that had arrived meanwhile: until %s, want %s", got, 20_000*ms+maxPause)
	}
	if got := p.Progress(8<<10, at(20_020*ms), 15_000*ms).Sub(start); got != 20_000*ms+maxPause {
		t.Errorf("after bytes that had arrived before others: until %s, want %s", got, 20_000*ms+maxPause)
	}
}
