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
	for len(body) > 0 {
		piece := body[:min(pieces.Size, len(body))]
		body = body[len(piece):]
		if pieces.Framing == InChunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if !c.write(piece) || len(body) > 0 && !c.wait(pieces.Pause) {
			return p.recordOutcome(index, Unsent)
		}
	}
	if pieces.Framing == InChunks {
		return c.write([]byte("0\r\n\r\n"))
	}
	return pieces.Framing == ByLength
}
