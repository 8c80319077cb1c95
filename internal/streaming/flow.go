// Package streaming bounds the memory of bodies: of those that are kept whole by a budget of bytes, of those that flow by the
// size of each stream's one buffer.
package streaming

import "sync"

const (
	leastBuffer = 4 << 10
	mostBuffer  = 32 << 10
	flowPart    = 8 // one part in so many of the memory is for the buffers of what flows,
	wholePart   = 4 // and one for what is kept whole
)

// Bounds are the memory that bodies may hold. They are safe for concurrent use.
type Bounds struct {
	size    int // of a stream's buffer
	buffers sync.Pool

	mu   sync.Mutex
	left int // bytes for what is kept whole
}

// New returns bounds for a process with so many bytes and so many sockets, two for each stream.
func New(memory, sockets int) *Bounds {
	size := min(mostBuffer, max(leastBuffer, memory/flowPart/max(1, sockets/2)))
	b := &Bounds{size: size, left: memory / wholePart}
	b.buffers.New = func() any { p := make([]byte, size); return &p }
	return b
}

// Buffer returns a stream's buffer, and what gives it back.
func (b *Bounds) Buffer() (p []byte, free func()) {
	q := b.buffers.Get().(*[]byte)
	return *q, func() { b.buffers.Put(q) }
}

// Take reserves n bytes for a body that is to be kept whole, and reports whether the bound leaves them.
func (b *Bounds) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// Give returns n bytes.
func (b *Bounds) Give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
