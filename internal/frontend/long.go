package frontend

import (
	"errors"
	"io"
	"os"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what the writer is to write.
type answer struct {
	*http1.Response
	flow request.BodyStream // its rest; nil = there is none
	old  bool               // the consumer can't read chunks
}

// deliver hands the core's answer to the writer, unless the consumer is gone.
func (c *conn) deliver(r *http1.Response, rest request.BodyStream, old bool) {
	c.mu.Lock()
	gone := c.gone
	c.long = rest
	c.mu.Unlock()
	if gone && rest != nil {
		rest.Close(false)
	}
	c.answers <- answer{r, rest, old}
}

// leave ends an answer that is being passed on: its consumer is gone.
func (c *conn) leave() {
	c.mu.Lock()
	c.gone = true
	long := c.long
	c.mu.Unlock()
	if long != nil {
		long.Close(false)
	}
}

// write writes a piece of an answer.
func (c *conn) write(p []byte) outcome.Kind {
	c.socket.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.socket.Write(p); err != nil {
		return outcome.WriteFailed
	}
	return outcome.Open
}

// pass writes what follows the beginning of a long answer, as it comes. One that breaks off is not ended as its framing says, so
// that the consumer can tell.
func (c *conn) pass(a answer) outcome.Kind {
	buf, free := c.server.bounds.Buffer()
	defer free()
	chunked := a.flow.Length() < 0 && !a.old
	for {
		n, err := a.flow.Read(buf)
		if n > 0 {
			piece := buf[:n]
			if chunked {
				piece = http1.AppendChunk(nil, piece)
			}
			if e := c.write(piece); e != outcome.Open {
				return e
			}
		}
		switch {
		case err == io.EOF && chunked:
			return c.write([]byte(http1.LastChunk))
		case err == io.EOF:
			return outcome.Open
		case err != nil:
			return outcome.ResponseAborted
		}
	}
}

// Read reads from the socket, and gives a body that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if c.paced != nil && n > 0 {
		c.paced.Got += int64(n)
		c.extendBody(c.paced.Until(time.Now()))
	}
	return n, err
}

// extendBody gives a body until t. Once the front is being closed, one that belongs to no request yet gets less: see extend. One that flows to a
// server goes on until its request is answered.
func (c *conn) extendBody(t time.Time) {
	if c.upload == nil {
		c.extend(t)
	} else {
		c.socket.ExtendReadDeadline(t)
	}
}

// keep reserves the memory for the part of the body that is kept, unless that is here already, and reports whether there is
// any left.
func (c *conn) keep(req *http1.Request) bool {
	n := req.Length()
	if n < 0 || n > http1.MaxBody {
		n = http1.MaxBody
	}
	if req.Length() >= 0 && int(n) <= c.br.Buffered() {
		return true
	}
	c.letGo()
	if !c.server.bounds.Take(int(n)) {
		return false
	}
	c.kept = int(n)
	return true
}

func (c *conn) letGo() {
	c.server.bounds.Give(c.kept)
	c.kept = 0
}

// readBody reads the body, or the beginning of a long one.
func (c *conn) readBody(req *http1.Request) error {
	if req.Length() < 0 || req.Length() > int64(c.br.Buffered()) {
		now := time.Now()
		c.paced = &streaming.Pace{Began: now}
		c.extend(c.paced.Until(now))
	}
	return req.ReadFirst(c.br)
}

var errSeized = errors.New("answered before the body was there")

// upload is the rest of a long request. The attempt that is out reads it straight from the consumer's connection, whose reader
// waits meanwhile.
type upload struct {
	conn  *conn
	body  *http1.Body
	pace  *streaming.Pace
	leave func() // told as soon as it is known that the body will never be whole

	spent  atomic.Bool
	seized atomic.Bool
	mu     sync.Mutex // held by who reads
	err    error      // why nothing more comes; io.EOF = that was all
	done   chan struct{}

	state   sync.Mutex
	whole   bool // the body was read to its end
	replied bool // the answer was written
	late    bool // before the body was read to its end
}

func (u *upload) Length() int64  { return u.body.Length() }
func (u *upload) Consumed() bool { return u.spent.Load() }

// Read makes it an request.Source.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && u.seized.Load() {
		return 0, errSeized
	}
	if u.err != nil {
		return 0, u.err
	}
	u.spent.Store(true)
	u.conn.paced = u.pace
	u.conn.socket.ExtendReadDeadline(u.pace.Until(time.Now()))
	n, err := u.body.Read(p)
	if err == nil && u.body.Length() == 0 {
		err = io.EOF
	}
	if u.seized.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errSeized
	}
	if err != nil {
		u.conn.paced = nil
		u.end(err)
	}
	return n, err
}

// end notes why nothing more comes. It is called with mu held.
func (u *upload) end(err error) {
	if u.err == nil {
		if u.err = err; err != io.EOF && err != errSeized {
			u.leave()
		}
		u.state.Lock()
		u.whole = err == io.EOF
		u.late = u.replied
		u.state.Unlock()
		u.conn.socket.SetReadDeadline(time.Time{})
		close(u.done)
	}
}

// answered notes that the answer is written, and reports whether the body had been read to its end.
func (u *upload) answered() bool {
	u.state.Lock()
	defer u.state.Unlock()
	u.replied = true
	return u.whole
}

// seize takes the body from whoever reads it.
func (u *upload) seize() {
	u.seized.Store(true)
	u.conn.socket.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn.paced = nil
	u.end(errSeized)
}

// uploaded waits until the rest of the body has been read. Another ending than Open says that the connection is at its end. If the
// answer came first, what is left of the body is read and dropped, and c.upload is nil then.
func (c *conn) uploaded(inv *request.Request) outcome.Kind {
	u, look := c.upload, time.Tick(leftEvery) // where no attempt reads, nobody sees the consumer's end
	for waiting := true; waiting; {
		select {
		case <-look:
			if c.socket.Left() {
				c.server.core.ClientGone(inv)
				u.seize()
				return outcome.ClientGone
			}
			continue
		case <-u.done:
			switch {
			case u.err == io.EOF && !u.late:
				return outcome.Open
			case u.err == io.EOF:
				if e := <-c.written; e != outcome.Open {
					return e
				}
				c.upload = nil
				c.rest()
				return outcome.Open
			}
			c.server.core.ClientGone(inv)
			if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, http1.ErrMalformed) {
				return outcome.MalformedRequest
			}
			return outcome.ClientGone
		case e := <-c.written:
			u.seize() // before anything else: who still reads must not do so beyond the connection's end
			if e != outcome.Open {
				return e
			}
		case <-c.server.hung:
			u.seize()
			return outcome.ShuttingDown
		}
		waiting = false
	}
	if u.err == errSeized {
		c.paced = u.pace
		c.socket.ExtendReadDeadline(u.pace.Until(time.Now()))
		_, err := io.Copy(io.Discard, u.body)
		if c.paced = nil; err != nil || !c.socket.MarkBusy() || c.socket.SetReadDeadline(time.Time{}) != nil {
			return outcome.MalformedRequest
		}
	}
	c.upload = nil
	c.rest()
	return outcome.Open
}
