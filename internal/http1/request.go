package http1

import (
	"bufio"
	"fmt"
	"strings"
)

// Request is a client's message.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Rest           *Body // what follows Body; nil = nothing does
	Close          bool  // the connection ends with the answer
	IsHTTP10       bool  // HTTP/1.0: the client can't read chunks
	framing
}

// ReadRequest reads up to the end of the header; ReadBody or ReadFirst reads the rest.
func ReadRequest(reader *bufio.Reader) (*Request, error) {
	line, err := readLine(reader)
	if err == nil && line == "" { // one empty line before a request is tolerated, as RFC 9112 asks
		line, err = readLine(reader)
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || !isVisible(target) {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
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
		return nil, fmt.Errorf("%w: %d Host lines", ErrMalformed, hosts)
	}
	r.Close = closesConnection(r.Header, minor)
	r.IsHTTP10 = minor == 0
	r.framing, err = parseFraming(r.Header)
	if r.chunked && minor == 0 {
		return nil, fmt.Errorf("%w: chunked in HTTP/1.0", ErrMalformed)
	}
	return r, err
}

// WantsContinue reports whether the client waits for a 100 Continue before it sends the body.
func (r *Request) WantsContinue() bool {
	return r.Header.hasListItem("Expect", "100-continue") && (r.chunked || r.length > 0)
}

// ReadBody reads the body that the header announced, which must not be longer than MaxBody.
func (r *Request) ReadBody(reader *bufio.Reader) (err error) {
	if r.length > MaxBody {
		return ErrTooLarge
	}
	if err = r.ReadFirst(reader); err == nil && r.Rest != nil {
		err = ErrTooLarge
	}
	return err
}

// ReadFirst reads the first MaxBody bytes of the body that the header announced; Rest has what follows.
func (r *Request) ReadFirst(reader *bufio.Reader) (err error) {
	r.Body, r.Rest, err = r.newBody(reader, false).readFirst(MaxBody)
	return err
}

// Length is the body's length as the header gives it; -1 = the header does not.
func (r *Request) Length() int64 {
	if r.chunked {
		return -1
	}
	return r.length
}
