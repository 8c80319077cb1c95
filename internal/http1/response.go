package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Stream is the part of a body that is read as it arrives.
type Stream interface {
	io.Reader      // io.EOF says that the body is complete
	Length() int64 // bytes that are left; -1 = not known
}

// Response is an answer.
type Response struct {
	Status   int
	Header   Header
	Body     []byte
	Rest     Stream // what follows Body; nil = nothing does
	Close    bool   // the connection ends with the answer
	Bodiless bool   // it answers HEAD: Header says what a body would have had
}

// ReadResponse reads a whole answer, whose body must not be longer than MaxBody, as ReadStreamedResponse does.
func ReadResponse(reader *bufio.Reader, bodiless bool, begun func(bool)) (*Response, error) {
	r, err := ReadStreamedResponse(reader, bodiless, begun, func(int) bool { return true })
	if err == nil && r.Rest != nil {
		return nil, ErrTooLarge
	}
	return r, err
}

// ReadStreamedResponse reads an answer and skips interim ones. One to HEAD is bodiless, whatever its header says. Before each it waits
// for the first byte and then calls begun(true), and begun(false) once the answer is read. Of a body that is longer than MaxBody,
// or for which mayKeep grants no memory, it reads only the beginning; Rest has what follows.
func ReadStreamedResponse(reader *bufio.Reader, bodiless bool, begun func(bool), mayKeep func(int) bool) (*Response, error) {
	for range maxInterimResponses {
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		begun(true)
		r, err := readResponse(reader, bodiless, mayKeep)
		if err != nil {
			return nil, err
		}
		begun(false)
		if r.Status >= http.StatusOK {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim answers", ErrMalformed, maxInterimResponses)
}

func readResponse(reader *bufio.Reader, bodiless bool, mayKeep func(int) bool) (*Response, error) {
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
	if !framing.chunked && !framing.sized { // then the end of the connection ends the body
		r.Close = true
	}
	body, rest, err := framing.newBody(reader, true).readFirst(framing.bytesToKeep(mayKeep))
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
		return 0, 0, fmt.Errorf("%w: status line", ErrMalformed)
	}
	return status, minor, nil
}

func statusHasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// bytesToKeep is how much of the body is read before the answer is passed on. A body that can't be kept whole is streamed from its
// first byte.
func (f framing) bytesToKeep(mayKeep func(int) bool) int {
	switch {
	case f.sized && f.length > MaxBody:
		return 0
	case f.sized && !mayKeep(int(f.length)), !f.sized && !mayKeep(MaxBody):
		return 0
	}
	return MaxBody
}
