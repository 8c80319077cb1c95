package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Stream is the rest of a body, read as it arrives.
type Stream interface {
	io.Reader      // io.EOF = the body is complete
	Length() int64 // bytes left; -1 = unknown
}

// Response is an HTTP response.
type Response struct {
	Status   int
	Header   Header
	Body     []byte
	Rest     Stream // what follows Body; nil = Body is complete
	Close    bool   // the connection is closed after the response
	Bodiless bool   // a response to HEAD: Header describes a body that is not sent
}

// ReadResponse reads a whole response like ReadStreamedResponse; a body longer than MaxBody is ErrTooLarge.
func ReadResponse(reader *bufio.Reader, bodiless bool, onBegun func(bool)) (*Response, error) {
	r, err := ReadStreamedResponse(reader, bodiless, onBegun, func(int) bool { return true })
	if err == nil && r.Rest != nil {
		return nil, ErrTooLarge
	}
	return r, err
}

// ReadStreamedResponse reads a response, and skips interim ones. With bodiless, as for HEAD, it reads no body, whatever the
// header says. For each response, it calls onBegun(true) after the first byte was received, and onBegun(false) once the
// response is read. Of a body that is longer than MaxBody, or for which reserve returns false because there is no memory, it
// reads only the beginning; Rest has what follows.
func ReadStreamedResponse(reader *bufio.Reader, bodiless bool, onBegun func(bool), reserve func(int) bool) (*Response, error) {
	for range maxInterimResponses {
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		onBegun(true)
		r, err := readResponse(reader, bodiless, reserve)
		if err != nil {
			return nil, err
		}
		onBegun(false)
		if r.Status >= http.StatusOK {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterimResponses)
}

func readResponse(reader *bufio.Reader, bodiless bool, reserve func(int) bool) (*Response, error) {
	line, err := readLine(reader)
	if err != nil {
		return nil, err
	}
	status, minor, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status}
	if r.Header, err = readHeader(reader); err != nil {
		return nil, err
	}
	r.Close = closesConnection(r.Header, minor)
	if bodiless || !statusHasBody(status) {
		return r, nil
	}
	framing, err := parseFraming(r.Header)
	if err != nil {
		return nil, err
	}
	if !framing.chunked && !framing.sized { // the body ends with the connection
		r.Close = true
	}
	body, rest, err := framing.newBody(reader, true).readFirst(framing.bytesToBuffer(reserve))
	r.Body = body
	if rest != nil { // a nil *Body in Rest would not be a nil Stream
		r.Rest = rest
	}
	return r, err
}

// parseStatusLine returns the status and the minor version of HTTP.
func parseStatusLine(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if minor, err = parseMinorVersion(version); err != nil {
		return 0, 0, err
	}
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return 0, 0, fmt.Errorf("%w: invalid status line", ErrMalformed)
	}
	return status, minor, nil
}

func statusHasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// bytesToBuffer returns how many bytes of the body are read before the response is forwarded. A body that can't be held in
// memory whole is streamed from its first byte.
func (f framing) bytesToBuffer(reserve func(int) bool) int {
	switch {
	case f.sized && f.length > MaxBody:
		return 0
	case f.sized && !reserve(int(f.length)), !f.sized && !reserve(MaxBody):
		return 0
	}
	return MaxBody
}
