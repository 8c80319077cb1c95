package frontend

import (
	"io"
	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"time"
)

// answer is what the writer is to write.
type answer struct {
	*http1.Response
	flow request.BodyStream // its rest; nil = there is none
	old  bool               // the consumer can't read chunks
}

// outcomes are what the statuses of the core's answers count as. One of a request that was never taken is no outcome.
var outcomes = map[int]metrics.Outcome{200: metrics.Success, 503: metrics.Overload, 502: metrics.Error, 409: metrics.Left}

// serve starts the writer.
func (c *conn) serve() {
	if c.answers != nil {
		return
	}
	c.answers, c.written = make(chan answer, 1), make(chan outcome.Kind, 1)
	c.writer.Go(func() error {
		for {
			select {
			case a := <-c.answers:
				e := c.writeAnswer(a)
				switch e {
				case outcome.WriteFailed:
				case outcome.ResponseAborted:
					c.request.End(metrics.Error)
				default:
					c.request.End(outcomes[a.Status])
				}
				c.written <- e
			case <-c.done:
				return nil
			}
		}
	})
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

func (c *conn) writeOne(r *http1.Response) outcome.Kind {
	return c.writeAnswer(answer{Response: r})
}

// writeAnswer writes an answer, with the rest of a long one as it comes.
func (c *conn) writeAnswer(a answer) outcome.Kind {
	r := a.Response
	r.Close = r.Close || c.server.isClosing() || c.socket.IsEvicted()
	e := c.write(http1.AppendResponse(nil, r, a.old))
	c.owed.Store(nil) // what could not be written went to nobody
	if a.flow != nil {
		if e == outcome.Open {
			e = c.pass(a)
		}
		a.flow.Close(e == outcome.Open)
	}
	if e != outcome.Open {
		if abrupt, ok := c.socket.Conn.(interface{ SetLinger(int) error }); ok && e == outcome.ResponseAborted && a.old {
			abrupt.SetLinger(0) // an end in order would look like the body's
		}
		c.socket.Close()
		return e
	}
	if r.Close {
		c.socket.CloseWrite()
		c.wind(c.lingering())
		if r.Status == 400 || r.Status == 408 || r.Status == 413 {
			return outcome.MalformedRequest
		}
		return outcome.ClosedAfterResponse
	}
	if c.upload == nil || c.upload.answered() { // else its body is still to be read
		c.rest()
	}
	return outcome.Open
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
