// Package http1 reads and writes HTTP/1.1 messages within fixed bounds. It knows nothing of what they mean
// to the sidecar, and neither a consumer nor a provider can make it panic or grow without limit.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// The bounds. A line must also fit the reader's buffer, so readers come from NewReader.
const (
	MaxBody    = 64 << 10 // of a body that is read whole
	MaxLong    = 48 << 20 // of one that flows: what is longer is taken for endless
	maxLine    = 8 << 10
	maxHeaders = 100
	maxHead    = 32 << 10
	maxInterim = 8 // 1xx answers before the real one
)

// ErrMalformed is in the chain of every error that is the other side's breach of HTTP or of the bounds; any
// other error comes from the connection.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge is a breach of a bound on bodies.
var ErrTooLarge = fmt.Errorf("%w: body too large", ErrMalformed)

// readers are those that nobody uses: connections come and go by the hundred, and the buffer is most of what one costs.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}

// NewReader returns a reader whose buffer holds the longest line. Free takes it back.
func NewReader(r io.Reader) *bufio.Reader {
	br := readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

// Free takes back a reader that nobody uses any more.
func Free(br *bufio.Reader) {
	br.Reset(nil)
	readers.Put(br)
}

// readLine reads one line without its end. A bare LF ends a line too, a bare CR is malformed.
func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line too long", ErrMalformed)
	}
	if err != nil {
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if bytes.IndexByte(line, '\r') >= 0 {
		return "", fmt.Errorf("%w: bare CR", ErrMalformed)
	}
	return string(line), nil
}

func minorVersion(v string) (int, error) {
	switch v {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, fmt.Errorf("%w: version", ErrMalformed)
}

func closes(h Header, minor int) bool {
	return h.lists("Connection", "close") || minor == 0 && !h.lists("Connection", "keep-alive")
}

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

func text(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
