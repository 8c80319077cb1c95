package streaming

import (
	"testing"
	"time"
)

// All streams that the sockets allow have their buffer within an eighth of the memory, or a small one where that is too
// little; and what is kept whole stays within a quarter.
func TestBounds(t *testing.T) {
	for _, tc := range []struct{ memory, sockets, size int }{
		{64 << 20, 1024, 16 << 10}, {32 << 20, 1024, 8 << 10}, {192 << 20, 256, maxBuffer}, {8 << 20, 4096, minBuffer},
	} {
		b := New(tc.memory, tc.sockets)
		p, free := b.Buffer()
		if len(p) != tc.size || tc.size > minBuffer && len(p)*tc.sockets/2 > tc.memory/8 {
			t.Errorf("%+v: buffers of %d", tc, len(p))
		}
		free()
		taken := 0
		for b.Reserve(64 << 10) {
			taken += 64 << 10
		}
		if taken > tc.memory/4 || taken < tc.memory/4-64<<10 {
			t.Errorf("%+v: %d bytes are kept whole", tc, taken)
		}
		if b.Release(64 << 10); !b.Reserve(64<<10) || b.Reserve(64<<10) {
			t.Errorf("%+v: what is given back may be taken once", tc)
		}
	}
}

// 64 kB a second in pieces is slow, a pause or a trickle is bad.
func TestPace(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, tc := range []struct {
		got       int64
		now, want time.Duration
	}{
		{0, 0, maxPause}, {100, 1900 * time.Millisecond, 2004 * time.Millisecond}, // a trickle: 2 s in all
		{640 << 10, 10 * time.Second, 10*time.Second + maxPause}, {24 << 10, 2900 * time.Millisecond, 3 * time.Second},
	} {
		p := Pace{Began: began, Got: tc.got}
		if got := p.Deadline(began.Add(tc.now)).Sub(began).Round(time.Millisecond); got != tc.want {
			t.Errorf("%d bytes after %s: until %s, want %s", tc.got, tc.now, got, tc.want)
		}
	}
}
