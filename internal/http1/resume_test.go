package http1

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
)

// haltingReader returns one byte at a time, and a timeout before each.
type haltingReader struct {
	from  io.Reader
	ready bool
}

func (h *haltingReader) Read(p []byte) (int, error) {
	h.ready = !h.ready
	if h.ready {
		return 0, os.ErrDeadlineExceeded
	}
	return h.from.Read(p[:1])
}

// A chunked body could not be read on after a timeout: what had arrived of a line was lost.
func TestBodyIsReadOnAfterTimeouts(t *testing.T) {
	for name, tc := range map[string]struct {
		raw     string
		framing framing
		wantErr error
	}{
		"chunked":               {"5;a=b\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\n\r\n", framing{chunked: true}, io.EOF},
		"chunked with trailers": {"b\r\nhello world\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\nnext", framing{chunked: true}, io.EOF},
		"sized":                 {"hello worldnext", framing{sized: true, length: 11}, io.EOF},
		"until the end":         {"hello world", framing{}, io.EOF},
		"broken chunk":          {"b\r\nhello worldx\r\n0\r\n\r\n", framing{chunked: true}, ErrMalformed},
		"cut off in a line":     {"b\r\nhello world\r\n5", framing{chunked: true}, io.ErrUnexpectedEOF},
	} {
		body := tc.framing.newBody(bufio.NewReader(&haltingReader{from: strings.NewReader(tc.raw)}), true)
		var got []byte
		var err error
		timeouts := 0
		for buf := make([]byte, 16); err == nil || errors.Is(err, os.ErrDeadlineExceeded); {
			var n int
			n, err = body.Read(buf)
			got = append(got, buf[:n]...)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				timeouts++
			}
		}
		if string(got) != "hello world" || !errors.Is(err, tc.wantErr) || timeouts < len("hello world") {
			t.Errorf("%s: %q with %d timeouts, %v", name, got, timeouts, err)
		}
	}
}
