package http1

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Stream is a body that flows.
type Stream interface {
	io.Reader      // io.EOF = it was whole
	Length() int64 // of what is left; -1 = that is not known
}

// Response is an answer.
type Response struct {
	Status   int
	Header   Header
	Body     []byte
	Rest     Stream // what follows Body, if that is not all; nil = it is
	Close    bool
	Bodiless bool // it answers HEAD: Header says what a body would have had
}

// ReadResponse reads a whole answer, of up to MaxBody, as ReadLong does.
func ReadResponse(reader *bufio.Reader, bodiless bool, begun func(bool)) (*Response, error) {
	r, err := ReadLong(reader, bodiless, begun, func(int) bool { return true })
	if err == nil && r.Rest != nil {
		return nil, ErrTooLarge
	}
	return r, err
}

// ReadLong reads an answer, passing over interim ones. One to HEAD is bodiless, whatever its header says. Before each it waits
// for the first byte and then calls begun, with false once it is whole. Of one that is longer than MaxBody, or that mayKeep
// leaves no room for, it reads a beginning only; Rest has what follows.
func ReadLong(reader *bufio.Reader, bodiless bool, begun func(bool), mayKeep func(int) bool) (*Response, error) {
	for range maxInterimResponses {
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		begun(true)
		r, err := readResponse(reader, bodiless, mayKeep)
		if err != nil {
			return nil, err
		}
		if begun(false); r.Status >= 200 {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrMalformed)
}

func readResponse(reader *bufio.Reader, bodiless bool, mayKeep func(int) bool) (*Response, error) {
	line, err := readLine(reader)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, err := parseMinorVersion(version)
	if err != nil {
		return nil, err
	}
	r := new(Response)
	if r.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || r.Status < 100 {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	if r.Header, err = readHeader(reader); err != nil {
		return nil, err
	}
	r.Close = closesConnection(r.Header, minor)
	if r.Status < 200 || bodiless || r.Status == 204 || r.Status == 304 {
		return r, nil
	}
	f, err := parseFraming(r.Header)
	if err != nil {
		return nil, err
	}
	if !f.chunked && !f.sized { // then the end of the connection ends the body
		r.Close = true
	}
	b, most := f.newBody(reader, true), MaxBody
	switch {
	case f.sized && f.length > MaxBody:
		most = 0 // it flows anyway: the sooner the better
	case f.sized && !mayKeep(int(f.length)), !f.sized && !mayKeep(MaxBody):
		most = 0
	}
	var more *Body
	if r.Body, more, err = b.readFirst(most); more != nil {
		r.Rest = more
	}
	return r, err
}
