package streaming

import (
	"testing"
	"time"
)

// The buffers of as many streams as the sockets allow fit into an eighth of the memory, or have the minimum size if an eighth
// is too little for that. Bodies that are held whole fit into a quarter.
func TestBounds(t *testing.T) {
	for _, tc := range []struct{ memory, sockets, size int }{
		{64 << 20, 1024, 16 << 10}, {32 << 20, 1024, 8 << 10}, {192 << 20, 256, maxBuffer}, {8 << 20, 4096, minBuffer},
	} {
		b := New(tc.memory, tc.sockets)
		p, free := b.Buffer()
		if len(p) != tc.size || tc.size > minBuffer && len(p)*tc.sockets/2 > tc.memory/8 {
			t.Errorf("%+v: buffers of %d bytes", tc, len(p))
		}
		free()
		reserved := 0
		for b.Reserve(64 << 10) {
			reserved += 64 << 10
		}
		if reserved > tc.memory/4 || reserved < tc.memory/4-64<<10 {
			t.Errorf("%+v: %d bytes were reserved", tc, reserved)
		}
		if b.Release(64 << 10); !b.Reserve(64<<10) || b.Reserve(64<<10) {
			t.Errorf("%+v: released bytes can be reserved exactly once", tc)
		}
	}
}

// A body that arrives at 64 KiB/s in pieces is not timed out; a long pause or a rate below the minimum is.
func TestPace(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, tc := range []struct {
		got       int64
		now, want time.Duration
	}{
		{0, 0, maxPause}, {100, 1900 * time.Millisecond, 2004 * time.Millisecond}, // below the minimum rate: timed out after about 2 s
		{640 << 10, 10 * time.Second, 10*time.Second + maxPause}, {24 << 10, 2900 * time.Millisecond, 3 * time.Second},
	} {
		p := Pace{StartedAt: began, Received: tc.got}
		if got := p.Deadline(began.Add(tc.now)).Sub(began).Round(time.Millisecond); got != tc.want {
			t.Errorf("%d bytes after %s: until %s, want %s", tc.got, tc.now, got, tc.want)
		}
	}
}
