package frontend

import (
	"io"
	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"time"
)

// pendingResponse is what the writer is to write.
type pendingResponse struct {
	*http1.Response
	download  request.BodyStream // its rest; nil = there is none
	oldClient bool               // the consumer can't read chunks
}

// metricOutcomes are what the statuses of the core's answers count as. One of a request that was never taken is no outcome.
var metricOutcomes = map[int]metrics.Outcome{200: metrics.Success, 503: metrics.Overload, 502: metrics.Error, 409: metrics.Left}

// startWriter starts the writer.
func (c *conn) startWriter() {
	if c.responses != nil {
		return
	}
	c.responses, c.written = make(chan pendingResponse, 1), make(chan outcome.Kind, 1)
	c.writer.Go(func() error {
		for {
			select {
			case a := <-c.responses:
				e := c.writeResponse(a)
				switch e {
				case outcome.WriteFailed:
				case outcome.ResponseAborted:
					c.metric.End(metrics.Error)
				default:
					c.metric.End(metricOutcomes[a.Status])
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
	gone := c.writerGone
	c.download = rest
	c.mu.Unlock()
	if gone && rest != nil {
		rest.Close(false)
	}
	c.responses <- pendingResponse{r, rest, old}
}

// closeDownload ends an answer that is being passed on: its consumer is gone.
func (c *conn) closeDownload() {
	c.mu.Lock()
	c.writerGone = true
	long := c.download
	c.mu.Unlock()
	if long != nil {
		long.Close(false)
	}
}

func (c *conn) writeDirectly(r *http1.Response) outcome.Kind {
	return c.writeResponse(pendingResponse{Response: r})
}

// writeResponse writes an answer, with the rest of a long one as it comes.
func (c *conn) writeResponse(a pendingResponse) outcome.Kind {
	r := a.Response
	r.Close = r.Close || c.server.isStopping() || c.socket.IsEvicted()
	e := c.writePiece(http1.AppendResponse(nil, r, a.oldClient))
	c.unansweredID.Store(nil) // what could not be written went to nobody
	if a.download != nil {
		if e == outcome.Open {
			e = c.streamDownload(a)
		}
		a.download.Close(e == outcome.Open)
	}
	if e != outcome.Open {
		if abrupt, ok := c.socket.Conn.(interface{ SetLinger(int) error }); ok && e == outcome.ResponseAborted && a.oldClient {
			abrupt.SetLinger(0) // an end in order would look like the body's
		}
		c.socket.Close()
		return e
	}
	if r.Close {
		c.socket.CloseWrite()
		c.shortenIdle(c.lingerTime())
		if r.Status == 400 || r.Status == 408 || r.Status == 413 {
			return outcome.MalformedRequest
		}
		return outcome.ClosedAfterResponse
	}
	if c.upload == nil || c.upload.markAnswered() { // else its body is still to be read
		c.markIdle()
	}
	return outcome.Open
}

// writePiece writes a piece of an answer.
func (c *conn) writePiece(p []byte) outcome.Kind {
	c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.socket.Write(p); err != nil {
		return outcome.WriteFailed
	}
	return outcome.Open
}

// streamDownload writes what follows the beginning of a long answer, as it comes. One that breaks off is not ended as its framing says, so
// that the consumer can tell.
func (c *conn) streamDownload(a pendingResponse) outcome.Kind {
	buf, free := c.server.bounds.Buffer()
	defer free()
	chunked := a.download.Length() < 0 && !a.oldClient
	for {
		n, err := a.download.Read(buf)
		if n > 0 {
			piece := buf[:n]
			if chunked {
				piece = http1.AppendChunk(nil, piece)
			}
			if e := c.writePiece(piece); e != outcome.Open {
				return e
			}
		}
		switch {
		case err == io.EOF && chunked:
			return c.writePiece([]byte(http1.LastChunk))
		case err == io.EOF:
			return outcome.Open
		case err != nil:
			return outcome.ResponseAborted
		}
	}
}
