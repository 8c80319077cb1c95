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

// framing says how long a body is.
type framing struct {
	chunked, sized bool
	length         int64
}

// parseFraming decides on the framing. What two readers could understand differently is malformed: that is how one
// request is smuggled inside another.
func parseFraming(h Header) (f framing, err error) {
	coding, coded, err := h.Only("Transfer-Encoding")
	if err != nil {
		return f, err
	}
	length, sized, err := h.Only("Content-Length")
	switch {
	case err != nil:
		return f, err
	case coded && sized:
		return f, fmt.Errorf("%w: both Transfer-Encoding and Content-Length", ErrMalformed)
	case coded && !strings.EqualFold(coding, "chunked"):
		return f, fmt.Errorf("%w: transfer coding", ErrMalformed)
	case coded:
		f.chunked = true
	case sized:
		f.sized = true
		f.length, err = parseLength(length, 10, MaxStreamedBody)
		return f, err
	}
	return f, nil
}

// parseLength reads an unsigned number of at most limit, digits only.
func parseLength(s string, base int, limit int64) (int64, error) {
	if s == "" || s[0] == '+' {
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	n, err := strconv.ParseUint(s, base, 63)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(limit):
		return 0, ErrTooLarge
	case err != nil:
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	return int64(n), nil
}

func (f framing) newBody(reader *bufio.Reader, toEOF bool) *Body {
	return &Body{reader: reader, framing: f, left: f.length, untilEOF: toEOF && !f.chunked && !f.sized}
}

// Body reads a message's body as it arrives, without its framing. It ends with io.EOF once it is complete; any other error says
// that it will never be.
type Body struct {
	reader *bufio.Reader
	framing
	untilEOF    bool
	left        int64 // bytes of the body, or of the present chunk
	insideChunk bool  // the present chunk's end is still to come
	total       int64
	err         error
}

// Length is what is left of the body; -1 = that is not known.
func (b *Body) Length() int64 {
	if b.chunked || b.untilEOF {
		return -1
	}
	return b.left
}

// Read reads what has arrived, and waits if nothing has.
func (b *Body) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 && !b.untilEOF {
		b.err = io.EOF
		if b.chunked {
			b.err = b.nextChunk()
		}
	}
	if b.err != nil {
		return 0, b.err
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
	if b.chunked || !errors.Is(err, os.ErrDeadlineExceeded) { // after a time-out in any other body the caller may read on where it was
		b.err = err
	}
	return n, err
}

// nextChunk reads up to the next chunk's first byte, or up to the body's end, which is io.EOF.
func (b *Body) nextChunk() error {
	if b.insideChunk {
		line, err := readLine(b.reader)
		if err != nil {
			return asUnexpectedEOF(err)
		}
		if line != "" {
			return fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		b.insideChunk = false
	}
	line, err := readLine(b.reader)
	if err != nil {
		return asUnexpectedEOF(err)
	}
	size, _, _ := strings.Cut(line, ";")
	if b.left, err = parseLength(strings.TrimRight(size, " \t"), 16, MaxStreamedBody); err != nil {
		return err
	}
	if b.left > 0 {
		b.insideChunk = true
		return nil
	}
	if _, err = readHeader(b.reader); err != nil { // trailers are dropped
		return err
	}
	return io.EOF
}

// minBodyBuffer is the first buffer, in bytes, for a body of unknown length.
const minBodyBuffer = 512

// readFirst reads the first limit bytes; rest is nil if there are no others.
func (b *Body) readFirst(limit int) (body []byte, rest *Body, err error) {
	if n := b.Length(); n > 0 {
		body = make([]byte, 0, min(n, int64(limit)))
	}
	for {
		if b.Length() == 0 {
			return body, nil, nil
		}
		if len(body) >= limit {
			if limit > 0 && b.Length() < 0 { // it may have ended just here
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

// waitForMore waits for the next byte of the body, or for its end.
func (b *Body) waitForMore() error {
	if b.err == nil && b.chunked && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err == nil {
		_, b.err = b.reader.Peek(1)
		if !b.untilEOF {
			b.err = asUnexpectedEOF(b.err)
		}
	}
	return b.err
}

// asUnexpectedEOF turns an end of the connection into one inside a message.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
