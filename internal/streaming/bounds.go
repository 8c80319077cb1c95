// Package streaming bounds the memory of request and response bodies: a budget of bytes limits the bodies that are held in
// memory whole, and each streamed body has a single buffer of fixed size. It also sets the minimum rate of a body.
package streaming

import "sync"

const (
	minBuffer     = 4 << 10  // bytes of a stream's buffer, at least
	maxBuffer     = 32 << 10 // bytes of a stream's buffer, at most
	streamDivisor = 8        // the buffers of streams get 1/streamDivisor of the memory
	heldDivisor   = 4        // bodies that are held whole get 1/heldDivisor of the memory
)

// Bounds limit the memory that bodies may hold. They are safe for concurrent use.
type Bounds struct {
	bufferSize int // bytes of a stream's buffer
	buffers    sync.Pool

	mu        sync.Mutex
	bytesLeft int // for bodies that are held whole
}

// New returns Bounds for a process with the given memory, in bytes, and number of sockets, of which each stream uses two.
func New(memory, sockets int) *Bounds {
	size := min(maxBuffer, max(minBuffer, memory/streamDivisor/max(1, sockets/2)))
	b := &Bounds{bufferSize: size, bytesLeft: memory / heldDivisor}
	b.buffers.New = func() any { p := make([]byte, size); return &p }
	return b
}

// Buffer returns a buffer for a stream, and a function that returns the buffer to the pool.
func (b *Bounds) Buffer() (p []byte, free func()) {
	q := b.buffers.Get().(*[]byte)
	return *q, func() { b.buffers.Put(q) }
}

// Reserve reserves n bytes for a body that is held whole. It returns false if fewer are left.
func (b *Bounds) Reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.bytesLeft {
		return false
	}
	b.bytesLeft -= n
	return true
}

// Release releases n bytes that Reserve has reserved.
func (b *Bounds) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesLeft += n
}
