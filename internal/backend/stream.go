package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// maxInSockets is the most bytes of a body that the client may have written, but which are still in the buffers of its socket and
// of this process's: more than Linux allows for both by default.
const maxInSockets = 16 << 20

// Why a long body was not written.
var (
	errHeldBack   = errors.New("the server has held the body back for longer than the client waits")
	errWriteEnded = errors.New("the server's connection has failed, or the server has responded early")
)

// streamBody writes the request up to its last byte, which it returns: releaseLastByte decides whether that may be written. A
// nil last means that the connection to the server has failed or, with clientErr, that reading the body from the client has.
func (c *conn) streamBody(a *attempt) (last []byte, clientErr error) {
	buf, free := a.endpoint.client.settings.Bounds.Buffer()
	defer free()
	defer c.socket.SetWriteDeadline(time.Time{})
	if err := c.writePiece(a, a.message); err != nil {
		return nil, clientError(err)
	}
	a.recordViolations(true)
	for {
		piece, complete, err := a.nextPiece(buf)
		switch {
		case err != nil:
			return nil, err
		case complete:
			return c.writeAllButLast(a, piece)
		case len(piece) > 0:
			if err := c.writePiece(a, piece); err != nil {
				return nil, clientError(err)
			}
		}
	}
}

// nextPiece reads the next piece of the body and frames it as it is sent. complete means that it is the last one.
func (a *attempt) nextPiece(buf []byte) (piece []byte, complete bool, err error) {
	n, err := a.upload.Read(buf)
	a.releaseMessage()
	piece = buf[:n]
	atEnd := errors.Is(err, io.EOF)
	if a.upload.Length() < 0 {
		piece = http1.AppendChunk(nil, piece)
		complete = atEnd
	} else {
		complete = a.upload.Length() == 0 && (err == nil || atEnd)
	}
	if !complete {
		return piece, false, err
	}
	if a.upload.Length() < 0 {
		piece = append(piece, http1.LastChunk...)
	}
	return piece, true, a.countReceived()
}

// countReceived counts the time since the client's last bytes were received, and returns an error if that is all that the client
// waits.
func (a *attempt) countReceived() error {
	ago, complete := a.upload.ReceivedAgo()
	if !complete {
		return nil
	}
	a.heldBack = max(a.heldBack, ago)
	if a.heldBack >= a.timeout-upstream.UploadMargin {
		return errHeldBack
	}
	return nil
}

// writeAllButLast writes the piece without its last byte, which it returns.
func (c *conn) writeAllButLast(a *attempt, piece []byte) (last []byte, clientErr error) {
	lastAt := max(0, len(piece)-1)
	if lastAt > 0 {
		if err := c.writePiece(a, piece[:lastAt]); err != nil {
			return nil, clientError(err)
		}
	}
	return append([]byte{}, piece[lastAt:]...), nil
}

// releaseMessage releases the memory of the message and of the beginning of the body, once more of the body is consumed, so that the
// request can't be sent again.
func (a *attempt) releaseMessage() {
	a.message = nil
	a.request.Body = nil
}

// clientError returns err if writing the body has ended for the client's sake, and nil if it has because of the server.
func clientError(err error) error {
	if errors.Is(err, errHeldBack) {
		return err
	}
	return nil
}

// writePiece writes a piece of a request with a long body, and adds the time for which the server holds it back to a.heldBack. That
// counts only while the client may have written all of the body: its time has started then, although the body isn't sent.
func (c *conn) writePiece(a *attempt, piece []byte) error {
	left := a.upload.Length()
	mayBeWritten := left < maxInSockets // -1 = unknown
	var err error
	if mayBeWritten {
		err = c.writeHeldBack(a, piece)
	} else {
		err = c.socket.WriteAll(piece, maxStreamStall)
	}
	switch {
	case errors.Is(err, errHeldBack):
		return err
	case err != nil || !c.socket.HasNothingUnread():
		return errWriteEnded
	}
	return nil
}

// writeHeldBack writes a piece of a body of which the client may have written all, within the time that it waits.
func (c *conn) writeHeldBack(a *attempt, piece []byte) error {
	began := time.Now()
	c.socket.SetWriteDeadline(began.Add(a.timeout - a.heldBack - upstream.UploadMargin))
	_, err := c.socket.Write(piece)
	a.heldBack += time.Since(began)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errHeldBack
	}
	return err
}

// download is the rest of a long response. Its consumer reads directly from the connection, whose goroutine waits meanwhile.
type download struct {
	request.Stream
	conn     *conn
	once     sync.Once
	complete bool
	done     chan struct{}

	mu       sync.Mutex // held during a Read
	released bool       // the connection's goroutine uses the connection again
}

// Read reads what has arrived, waiting for at most maxStreamStall.
func (d *download) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.released {
		return 0, net.ErrClosed
	}
	d.conn.socket.SetReadDeadline(time.Now().Add(maxStreamStall))
	return d.Stream.Read(p)
}

// Close ends the reading. If complete, the body was read to its end, so that the connection may be reused; otherwise it is
// closed.
func (d *download) Close(complete bool) {
	d.once.Do(func() {
		d.complete = complete
		if !complete {
			d.conn.close() // makes a blocked Read return
		}
		close(d.done)
	})
}

// wait waits until the download is closed and no Read is in progress, and reports whether the connection may be reused.
func (d *download) wait(ctx context.Context) bool {
	select {
	case <-d.done:
	case <-ctx.Done(): // the end of the context also closes the connection
		d.Close(false)
	}
	d.mu.Lock() // waits for a Read in progress
	defer d.mu.Unlock()
	d.released = true
	return d.complete && d.conn.reader.Buffered() == 0 && d.conn.socket.SetReadDeadline(time.Time{}) == nil
}
