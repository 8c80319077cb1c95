package backend

import (
	"context"
	"io"
	"net"
	"plankrouter/internal/http1"
	"plankrouter/internal/request"
	"sync"
	"time"
)

// streamBody writes the request up to its last byte, which it returns: that may not be written before the call is released. Without
// it the connection has failed, or the consumer has, with an error.
func (c *conn) streamBody(a *attempt) (last []byte, consumer error) {
	buf, free := a.endpoint.client.settings.Bounds.Buffer()
	defer free()
	write := func(p []byte) bool {
		c.socket.SetWriteDeadline(time.Now().Add(maxStreamStall))
		_, err := c.socket.Write(p)
		return err == nil && c.socket.Quiet()
	}
	defer c.socket.SetWriteDeadline(time.Time{})
	if !write(a.message) {
		return nil, nil
	}
	a.recordViolations(true)
	allBut := func(piece []byte) (last []byte, consumer error) {
		at := max(0, len(piece)-1)
		if at > 0 && !write(piece[:at]) {
			return nil, nil
		}
		return append([]byte{}, piece[at:]...), nil
	}
	chunked := a.upload.Length() < 0
	for {
		n, err := a.upload.Read(buf)
		piece := buf[:n]
		switch {
		case chunked:
			piece = http1.AppendChunk(nil, piece)
			if err == io.EOF {
				return allBut(append(piece, http1.LastChunk...))
			}
		case a.upload.Length() == 0 && (err == nil || err == io.EOF):
			return allBut(piece)
		}
		if err != nil {
			return nil, err
		}
		if n > 0 && !write(piece) {
			return nil, nil
		}
	}
}

// download is the rest of a long answer. Who has it reads it straight from the connection, whose goroutine waits meanwhile.
type download struct {
	request.Stream
	conn  *conn
	once  sync.Once
	whole bool
	done  chan struct{}

	mu   sync.Mutex // held by who reads
	over bool       // the connection belongs to its goroutine again
}

// Read reads what is there, and waits for it for a while.
func (d *download) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return 0, net.ErrClosed
	}
	d.conn.socket.SetReadDeadline(time.Now().Add(maxStreamStall))
	return d.Stream.Read(p)
}

// Close makes it an request.Flow.
func (d *download) Close(whole bool) {
	d.once.Do(func() {
		if d.whole = whole; !whole {
			d.conn.close() // wakes a Read
		}
		close(d.done)
	})
}

// wait returns once nobody reads the connection any more, and whether it may be used again.
func (d *download) wait(ctx context.Context) bool {
	select {
	case <-d.done:
	case <-ctx.Done(): // which closes the connection
		d.Close(false)
	}
	d.mu.Lock() // a Read that was under way when it was closed ends first
	defer d.mu.Unlock()
	d.over = true
	return d.whole && d.conn.reader.Buffered() == 0 && d.conn.socket.SetReadDeadline(time.Time{}) == nil
}
