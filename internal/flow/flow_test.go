package flow

import "testing"

// All streams that the sockets allow have their buffer within an eighth of the memory, or a small one where that is too
// little; and what is kept whole stays within a quarter.
func TestBounds(t *testing.T) {
	for _, tc := range []struct{ memory, sockets, size int }{
		{64 << 20, 1024, 16 << 10}, {32 << 20, 1024, 8 << 10}, {192 << 20, 256, mostBuffer}, {8 << 20, 4096, leastBuffer},
	} {
		b := New(tc.memory, tc.sockets)
		p, free := b.Buffer()
		if len(p) != tc.size || tc.size > leastBuffer && len(p)*tc.sockets/2 > tc.memory/8 {
			t.Errorf("%+v: buffers of %d", tc, len(p))
		}
		free()
		taken := 0
		for b.Take(64 << 10) {
			taken += 64 << 10
		}
		if taken > tc.memory/4 || taken < tc.memory/4-64<<10 {
			t.Errorf("%+v: %d bytes are kept whole", tc, taken)
		}
		if b.Give(64 << 10); !b.Take(64<<10) || b.Take(64<<10) {
			t.Errorf("%+v: what is given back may be taken once", tc)
		}
	}
}
