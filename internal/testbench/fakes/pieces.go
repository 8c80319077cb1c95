package fakes

import (
	"fmt"
	"io"
	"time"
)

// WriteInPieces writes p in pieces, with a pause between two.
func WriteInPieces(w io.Writer, p []byte, piece int, pause time.Duration) error {
	for {
		n, err := w.Write(p[:min(piece, len(p))])
		p = p[n:]
		if err != nil || len(p) == 0 {
			return err
		}
		time.Sleep(pause)
	}
}

// head returns the header of a response with a body of the given length.
func (p *Pieces) head(length int) string {
	switch p.Framing {
	case InChunks:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	case ToEnd:
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

// respondInPieces sends a long response that begins with body in pieces. It returns false if the connection is to be closed.
func (p *Server) respondInPieces(c *hostConn, index int, body []byte, pieces *Pieces) bool {
	body = append(body, make([]byte, max(0, pieces.Length-len(body)))...)
	p.recordOutcome(index, Responded)
	if !c.write([]byte(pieces.head(len(body)))) {
		return p.recordOutcome(index, Unsent)
	}
	p.updateRequest(index, func(r *Request) { r.HeadSent = time.Now() })
	if !c.waitForClient(pieces.FirstPause) {
		return p.recordCutOff(c, index)
	}
	for len(body) > 0 {
		piece := body[:min(pieces.Size, len(body))]
		body = body[len(piece):]
		if pieces.Framing == InChunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if !c.write(piece) || len(body) > 0 && !c.waitForClient(pieces.Pause) {
			return p.recordCutOff(c, index)
		}
	}
	if pieces.Framing == InChunks {
		return c.write([]byte("0\r\n\r\n"))
	}
	return pieces.Framing == ByLength
}

// recordCutOff records that the response could not be sent whole. It returns false, as the connection has ended.
func (p *Server) recordCutOff(c *hostConn, index int) bool {
	select {
	case <-c.closed: // by this server
		return p.recordOutcome(index, Unsent)
	default:
	}
	p.updateRequest(index, func(r *Request) { r.Outcome, r.CutOffAt = Unsent, time.Now() })
	return false
}
