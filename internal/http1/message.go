// Package http1 reads and writes HTTP/1.1 messages within fixed bounds, independently of how the sidecar uses them. Neither a
// client nor a server can make it panic or use unbounded memory.
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

// The bounds, in bytes unless the name says otherwise. A line must also fit into the reader's buffer, so readers have to come
// from NewReader.
const (
	MaxBody             = 64 << 10 // of a body that is held in memory whole
	MaxStreamedBody     = 48 << 20 // of a streamed body: a longer one is treated as endless, and is ErrTooLarge
	maxLineBytes        = 8 << 10
	maxHeaderLines      = 100
	maxHeaderBytes      = 32 << 10
	maxInterimResponses = 8 // 1xx responses before the final one
)

// ErrMalformed is wrapped by every error that the message itself causes, because it violates HTTP or the bounds. Any other
// error comes from the connection.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge means that a body exceeds MaxBody or MaxStreamedBody.
var ErrTooLarge = fmt.Errorf("%w: body too large", ErrMalformed)

// readerPool pools readers: hundreds of connections may be opened and closed, and the reader's buffer is most of the cost of
// a connection.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}

// NewReader returns a reader whose buffer holds the longest line. FreeReader returns the reader to the pool.
func NewReader(r io.Reader) *bufio.Reader {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(r)
	return reader
}

// FreeReader returns a reader to the pool. The caller must not use it afterwards.
func FreeReader(reader *bufio.Reader) {
	reader.Reset(nil)
	readerPool.Put(reader)
}

// awaitLine waits until the reader has buffered a whole line, or is full. After an error nothing has been consumed, so that the
// line can be read later if that was a timeout.
func awaitLine(reader *bufio.Reader) error {
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		if bytes.IndexByte(buffered, '\n') >= 0 {
			return nil
		}
		_, err := reader.Peek(len(buffered) + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// readLine reads a line, without its line end. A bare LF is a line end, too; a bare CR is malformed. After a timeout it may be
// called again.
func readLine(reader *bufio.Reader) (string, error) {
	if err := awaitLine(reader); err != nil {
		return "", err
	}
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line too long", ErrMalformed)
	}
	if err != nil {
		return "", err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if bytes.IndexByte(line, '\r') >= 0 {
		return "", fmt.Errorf("%w: bare CR", ErrMalformed)
	}
	return string(line), nil
}

func parseMinorVersion(v string) (int, error) {
	switch v {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, fmt.Errorf("%w: unsupported HTTP version", ErrMalformed)
}

// closesConnection reports whether the connection is closed after a message with this header and minor version of HTTP.
func closesConnection(h Header, minor int) bool {
	return h.hasListItem("Connection", "close") || minor == 0 && !h.hasListItem("Connection", "keep-alive")
}

// isToken reports whether s is a token of RFC 9110, 5.6.2: a method or a header's name.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isVisible reports whether s has neither spaces nor control characters, and is not empty.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isText reports whether s has no control characters but tabs.
func isText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
