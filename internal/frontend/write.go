package frontend

import (
	"errors"
	"io"
	"net/http"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
)

// pendingResponse is what the writer is to write.
type pendingResponse struct {
	*http1.Response
	download  request.BodyStream // the rest of its body; nil = there is none
	oldClient bool               // HTTP/1.0: the client can't read chunks
}

// metricOutcomes are what the statuses of the dispatcher's answers count as. Rejections of messages that were not submitted are not counted.
var metricOutcomes = map[int]metrics.Outcome{
	http.StatusOK: metrics.Success, http.StatusServiceUnavailable: metrics.Overload,
	http.StatusBadGateway: metrics.Error, http.StatusConflict: metrics.ClientGone,
}

// startWriter starts the writer, once.
func (c *conn) startWriter() {
	if c.responses != nil {
		return
	}
	c.responses = make(chan pendingResponse, 1)
	c.written = make(chan outcome.Kind, 1)
	c.writer.Go(func() error {
		for {
			select {
			case p := <-c.responses:
				how := c.writeResponse(p)
				switch how {
				case outcome.WriteFailed:
				case outcome.ResponseAborted:
					c.metric.End(metrics.Error)
				default:
					c.metric.End(metricOutcomes[p.Status])
				}
				c.written <- how
			case <-c.done:
				return nil
			}
		}
	})
}

// deliver gives the dispatcher's answer to the writer. If the client is gone, nothing reads the rest of it.
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

// closeDownload ends an answer that is being streamed: its client is gone.
func (c *conn) closeDownload() {
	c.mu.Lock()
	c.writerGone = true
	download := c.download
	c.mu.Unlock()
	if download != nil {
		download.Close(false)
	}
}

// writeDirectly writes an answer that the reader itself gives.
func (c *conn) writeDirectly(r *http1.Response) outcome.Kind {
	return c.writeResponse(pendingResponse{Response: r})
}

// writeResponse writes an answer, and streams the rest of a long one.
func (c *conn) writeResponse(a pendingResponse) outcome.Kind {
	r := a.Response
	r.Close = r.Close || c.server.isDraining() || c.socket.IsEvicted()
	how := c.writePiece(http1.AppendResponse(nil, r, a.oldClient))
	c.unansweredID.Store(nil) // even if the write failed: nobody is left to answer
	if a.download != nil {
		if how == outcome.Open {
			how = c.streamDownload(a)
		}
		a.download.Close(how == outcome.Open)
	}
	if how != outcome.Open {
		if abrupt, ok := c.socket.Conn.(interface{ SetLinger(int) error }); ok && how == outcome.ResponseAborted && a.oldClient {
			_ = abrupt.SetLinger(0) // a reset: to an old client an orderly close would end the body
		}
		_ = c.socket.Close()
		return how
	}
	if r.Close {
		_ = c.socket.CloseWrite()
		c.shortenIdle(c.lingerTime())
		if r.Status == http.StatusBadRequest || r.Status == http.StatusRequestTimeout || r.Status == http.StatusRequestEntityTooLarge {
			return outcome.MalformedRequest
		}
		return outcome.ClosedAfterResponse
	}
	if c.upload == nil || c.upload.markAnswered() { // otherwise its body is still to be read
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

// streamDownload writes what follows the beginning of a long answer, as it comes. If that breaks off, the end that the framing asks for
// is not written, so that the client can tell.
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
			if how := c.writePiece(piece); how != outcome.Open {
				return how
			}
		}
		switch {
		case errors.Is(err, io.EOF) && chunked:
			return c.writePiece([]byte(http1.LastChunk))
		case errors.Is(err, io.EOF):
			return outcome.Open
		case err != nil:
			return outcome.ResponseAborted
		}
	}
}
