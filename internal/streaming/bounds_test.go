package streaming

import "testing"

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
