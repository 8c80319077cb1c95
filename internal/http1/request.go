package http1

import (
	"bufio"
	"fmt"
	"strings"
)

// Request is an HTTP request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Rest           *Body // what follows Body; nil = Body is complete
	Close          bool  // the connection is closed after the response
	IsHTTP10       bool  // HTTP/1.0: the client can't read chunks
	framing
}

// ReadRequest reads a request up to the end of its header; ReadBody or ReadFirst reads the body.
func ReadRequest(reader *bufio.Reader) (*Request, error) {
	line, err := readLine(reader)
	if err == nil && line == "" { // RFC 9112 asks to ignore an empty line before a request
		line, err = readLine(reader)
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || !isVisible(target) {
		return nil, fmt.Errorf("%w: invalid request line", ErrMalformed)
	}
	r := &Request{Method: method, Target: target}
	minor, err := parseMinorVersion(version)
	if err != nil {
		return nil, err
	}
	if r.Header, err = readHeader(reader); err != nil {
		return nil, err
	}
	if hosts := countFields(r.Header, "Host"); hosts > 1 || hosts == 0 && minor > 0 {
		return nil, fmt.Errorf("%w: %d Host headers", ErrMalformed, hosts)
	}
	r.Close = closesConnection(r.Header, minor)
	r.IsHTTP10 = minor == 0
	r.framing, err = parseFraming(r.Header)
	if r.chunked && minor == 0 {
		return nil, fmt.Errorf("%w: chunked body in HTTP/1.0", ErrMalformed)
	}
	return r, err
}

// WantsContinue reports whether the client waits for a 100 Continue before it sends the body.
func (r *Request) WantsContinue() bool {
	return r.Header.hasListItem("Expect", "100-continue") && (r.chunked || r.length > 0)
}

// ReadBody reads the body that the header describes. A body longer than MaxBody is ErrTooLarge.
func (r *Request) ReadBody(reader *bufio.Reader) (err error) {
	if r.length > MaxBody {
		return ErrTooLarge
	}
	if err = r.ReadFirst(reader); err == nil && r.Rest != nil {
		err = ErrTooLarge
	}
	return err
}

// ReadFirst reads the first MaxBody bytes of the body that the header describes; Rest has what follows.
func (r *Request) ReadFirst(reader *bufio.Reader) (err error) {
	r.Body, r.Rest, err = r.newBody(reader, false).readFirst(MaxBody)
	return err
}

// Length returns the body's length according to the header; -1 = unknown.
func (r *Request) Length() int64 {
	if r.chunked {
		return -1
	}
	return r.length
}
