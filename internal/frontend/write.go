package frontend

import (
	"errors"
	"io"
	"net/http"

	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
)

// pendingResponse is a response for the writer.
type pendingResponse struct {
	*http1.Response
	download request.BodyStream // the rest of its body; nil = none
	isHTTP10 bool               // the client uses HTTP/1.0 and can't read chunks
}

// metricOutcomes maps the statuses of the dispatcher's responses to metrics. Rejections of messages that were not submitted
// are not counted.
var metricOutcomes = map[int]metrics.Outcome{
	http.StatusOK: metrics.Success, http.StatusServiceUnavailable: metrics.Overload,
	http.StatusBadGateway: metrics.Error, http.StatusConflict: metrics.ClientGone,
}

// startWriter starts the writer goroutine if it is not running.
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
				kind := c.writeResponse(p)
				switch kind {
				case outcome.WriteFailed:
				case outcome.ResponseAborted:
					c.metric.End(metrics.Error)
				default:
					c.metric.End(metricOutcomes[p.Status])
				}
				c.written <- kind
			case <-c.done:
				return nil
			}
		}
	})
}

// deliver passes the dispatcher's response to the writer. If the client is gone, it closes the rest, which nothing would read.
func (c *conn) deliver(r *http1.Response, rest request.BodyStream, isHTTP10 bool) {
	c.mu.Lock()
	gone := c.writerGone
	c.download = rest
	c.mu.Unlock()
	if gone && rest != nil {
		rest.Close(false)
	}
	c.responses <- pendingResponse{r, rest, isHTTP10}
}

// closeDownload aborts a response that is being streamed, because its client is gone.
func (c *conn) closeDownload() {
	c.mu.Lock()
	c.writerGone = true
	download := c.download
	c.mu.Unlock()
	if download != nil {
		download.Close(false)
	}
}

// respondDirectly writes the response to a message that is no request for the dispatcher, and reads the rest of its body.
func (c *conn) respondDirectly(r *http1.Response) outcome.Kind {
	pace := c.pace
	c.pace = nil // what arrives from now on is not the body, or is discarded
	kind := c.writeDirectly(r)
	if c.unreadBody == nil {
		return kind
	}
	return c.discardAfterResponse(kind, c.unreadBody, pace)
}

// writeDirectly writes a response of the reader goroutine itself.
func (c *conn) writeDirectly(r *http1.Response) outcome.Kind {
	return c.writeResponse(pendingResponse{Response: r})
}

// writeResponse writes a response, and streams the rest of a long one.
func (c *conn) writeResponse(pending pendingResponse) outcome.Kind {
	r := pending.Response
	r.Close = r.Close || c.server.isDraining() || c.socket.IsEvicted()
	kind := c.writePiece(http1.AppendResponse(nil, r, pending.isHTTP10))
	c.pendingRequestID.Store(nil) // even if the write failed, since the client is gone then
	if pending.download != nil {
		if kind == outcome.Open {
			kind = c.streamDownload(pending)
		}
		c.traceDownload(kind, pending.download.Length())
		pending.download.Close(kind == outcome.Open)
	}
	if kind != outcome.Open {
		if abrupt, ok := c.socket.Conn.(interface{ SetLinger(int) error }); ok && kind == outcome.ResponseAborted && pending.isHTTP10 {
			_ = abrupt.SetLinger(0) // sends a reset: a client of HTTP/1.0 would take an orderly close for the end of the body
		}
		_ = c.socket.Close()
		return kind
	}
	bodyRead := c.unreadBody == nil && (c.upload == nil || c.upload.markResponded())
	switch {
	case r.Close:
		_ = c.socket.CloseWrite()
		if bodyRead {
			c.shortenIdle(0) // wakes the reader, which lingers
		}
		return outcomeOfClose(r.Status)
	case bodyRead:
		c.markIdle()
	}
	return outcome.Open
}

// traceDownload logs how the forwarding of a long response has ended, and how many bytes were left; -1 = unknown.
func (c *conn) traceDownload(kind outcome.Kind, left int64) {
	if c.server.Trace != nil {
		c.server.Trace("trace=download remote=%s ending=%s left=%d client_closed=%t", c.socket.RemoteAddr(), kind, left, c.socket.HasPeerClosed())
	}
}

// outcomeOfClose returns the outcome of a connection that is closed after a response with the status.
func outcomeOfClose(status int) outcome.Kind {
	switch status {
	case http.StatusRequestTimeout:
		return outcome.RequestTimedOut
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return outcome.MalformedRequest
	}
	return outcome.ClosedAfterResponse
}

// writePiece writes a piece of a response.
func (c *conn) writePiece(p []byte) outcome.Kind {
	if err := c.socket.WriteAll(p, writeTimeout); err != nil {
		return outcome.WriteFailed
	}
	return outcome.Open
}

// streamDownload writes the rest of a long response as it arrives. If the server breaks off, the end that the framing requires
// is not written, so that the client can detect that the response is incomplete.
func (c *conn) streamDownload(pending pendingResponse) outcome.Kind {
	buf, free := c.server.bounds.Buffer()
	defer free()
	chunked := pending.download.Length() < 0 && !pending.isHTTP10
	for {
		n, err := pending.download.Read(buf)
		if n > 0 {
			piece := buf[:n]
			if chunked {
				piece = http1.AppendChunk(nil, piece)
			}
			if kind := c.writePiece(piece); kind != outcome.Open {
				return kind
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
