// Package streaming bounds the memory of bodies: of those that are kept by a budget of bytes, of those that are streamed by the
// size of each stream's one buffer. It also bounds how slowly a body may come.
package streaming

import "sync"

const (
	minBuffer     = 4 << 10
	maxBuffer     = 32 << 10
	streamDivisor = 8 // one part in so many of the memory is for the buffers of streams,
	keptDivisor   = 4 // and one in so many for bodies that are kept
)

// Bounds are the memory that bodies may hold. They are safe for concurrent use.
type Bounds struct {
	bufferSize int // of a stream's buffer
	buffers    sync.Pool

	mu        sync.Mutex
	bytesLeft int // for bodies that are kept
}

// New returns bounds for a process with so many bytes and so many sockets, two for each stream.
func New(memory, sockets int) *Bounds {
	size := min(maxBuffer, max(minBuffer, memory/streamDivisor/max(1, sockets/2)))
	b := &Bounds{bufferSize: size, bytesLeft: memory / keptDivisor}
	b.buffers.New = func() any { p := make([]byte, size); return &p }
	return b
}

// Buffer returns a stream's buffer, and a function that gives it back.
func (b *Bounds) Buffer() (p []byte, free func()) {
	q := b.buffers.Get().(*[]byte)
	return *q, func() { b.buffers.Put(q) }
}

// Reserve reserves n bytes for a body that is to be kept, and reports whether the bound leaves them.
func (b *Bounds) Reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.bytesLeft {
		return false
	}
	b.bytesLeft -= n
	return true
}

// Release returns n bytes.
func (b *Bounds) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesLeft += n
}
