package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
)

// framing is how the end of a body is determined. If neither chunked nor sized, a request has no
// body, and the body of a response ends with the connection.
type framing struct {
	chunked, sized bool
	length         int64
}

// parseFraming returns the framing that the header describes. A framing that two recipients could interpret differently is
// malformed, because it allows request smuggling.
func parseFraming(h Header) (f framing, err error) {
	coding, coded, err := h.SingleValue("Transfer-Encoding")
	if err != nil {
		return f, err
	}
	length, sized, err := h.SingleValue("Content-Length")
	switch {
	case err != nil:
		return f, err
	case coded && sized:
		return f, fmt.Errorf("%w: both Transfer-Encoding and Content-Length", ErrMalformed)
	case coded && !strings.EqualFold(coding, "chunked"):
		return f, fmt.Errorf("%w: unsupported transfer coding", ErrMalformed)
	case coded:
		f.chunked = true
	case sized:
		f.sized = true
		f.length, err = parseLength(length, 10, MaxStreamedBody)
		return f, err
	}
	return f, nil
}

// parseLength parses an unsigned number of digits only. A number above limit is ErrTooLarge.
func parseLength(s string, base int, limit int64) (int64, error) {
	if s == "" || s[0] == '+' {
		return 0, fmt.Errorf("%w: invalid length", ErrMalformed)
	}
	n, err := strconv.ParseUint(s, base, 63)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(limit):
		return 0, ErrTooLarge
	case err != nil:
		return 0, fmt.Errorf("%w: invalid length", ErrMalformed)
	}
	return int64(n), nil
}

func (f framing) newBody(reader *bufio.Reader, toEOF bool) *Body {
	return &Body{reader: reader, framing: f, left: f.length, untilEOF: toEOF && !f.chunked && !f.sized}
}

// Body reads a message's body as it arrives, without its framing. Its Read returns io.EOF once the body is complete; any
// other error means that the body is incomplete.
type Body struct {
	reader *bufio.Reader
	framing
	untilEOF    bool
	left        int64 // bytes left of the body, or of the current chunk
	insideChunk bool  // the line end after the current chunk is not read yet
	inTrailers  bool  // the last chunk is read
	total       int64 // bytes read
	err         error
}

// Length returns the number of bytes left of the body; -1 = unknown.
func (b *Body) Length() int64 {
	if b.chunked || b.untilEOF {
		return -1
	}
	return b.left
}

// Read reads what has arrived, and waits if nothing has. After a timeout the caller may continue to read.
func (b *Body) Read(p []byte) (int, error) {
	if err := b.begin(); err != nil {
		return 0, err
	}
	if !b.untilEOF && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.reader.Read(p)
	b.total += int64(n)
	if b.total > MaxStreamedBody {
		err = ErrTooLarge
	}
	if !b.untilEOF {
		b.left -= int64(n)
		err = asUnexpectedEOF(err)
	}
	return n, b.record(err)
}

// begin reads up to the next byte of the body, if framing precedes it. It returns io.EOF at the end of the body.
func (b *Body) begin() error {
	switch {
	case b.err != nil:
		return b.err
	case b.untilEOF || b.left > 0:
		return nil
	case b.chunked:
		return b.record(b.nextChunk())
	}
	return b.record(io.EOF)
}

// record records the error, which every further read returns, unless it is a timeout. It returns err.
func (b *Body) record(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		b.err = err
	}
	return err
}

// nextChunk reads up to the first byte of the next chunk. It returns io.EOF at the end of the body.
func (b *Body) nextChunk() error {
	if !b.inTrailers {
		if err := b.readChunkSize(); err != nil || b.left > 0 {
			return err
		}
		b.inTrailers = true
	}
	if _, err := readHeader(b.reader); err != nil { // trailers are discarded
		return err
	}
	return io.EOF
}

// readChunkSize reads the end of a chunk, and the line with the size of the next one, which is 0 for the last one.
func (b *Body) readChunkSize() error {
	if b.insideChunk {
		line, err := readLine(b.reader)
		if err != nil {
			return asUnexpectedEOF(err)
		}
		if line != "" {
			return fmt.Errorf("%w: chunk is not followed by a line end", ErrMalformed)
		}
		b.insideChunk = false
	}
	line, err := readLine(b.reader)
	if err != nil {
		return asUnexpectedEOF(err)
	}
	size, _, _ := strings.Cut(line, ";")
	b.left, err = parseLength(strings.TrimRight(size, " \t"), 16, MaxStreamedBody)
	b.insideChunk = b.left > 0
	return err
}

// minBodyBuffer is the initial buffer size, in bytes, for a body of unknown length.
const minBodyBuffer = 512

// readFirst reads the first limit bytes of the body; rest is nil if that is all of it.
func (b *Body) readFirst(limit int) (body []byte, rest *Body, err error) {
	if n := b.Length(); n > 0 {
		body = make([]byte, 0, min(n, int64(limit)))
	}
	for {
		if b.Length() == 0 {
			return body, nil, nil
		}
		if len(body) >= limit {
			if limit > 0 && b.Length() < 0 { // the body may end exactly here
				err := b.waitForMore()
				if errors.Is(err, io.EOF) {
					return body, nil, nil
				}
				if err != nil {
					return body, nil, err
				}
			}
			return body, b, nil
		}
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(max(limit, 1), max(minBodyBuffer, 2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := b.Read(body[len(body):min(cap(body), max(limit, 1))])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil, nil
		}
		if err != nil {
			return body, nil, err
		}
	}
}

// waitForMore waits for the next byte of the body, and returns nil, or for its end, and returns io.EOF.
func (b *Body) waitForMore() error {
	if err := b.begin(); err != nil {
		return err
	}
	_, err := b.reader.Peek(1)
	if !b.untilEOF {
		err = asUnexpectedEOF(err)
	}
	return b.record(err)
}

// asUnexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because the connection has ended inside a message. It returns any
// other err unchanged.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
