package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
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

// ResponseOptions are the caller's part in reading a response.
type ResponseOptions struct {
	// Bodiless means that no body is read, whatever the header says, as for HEAD.
	Bodiless bool
	// OnBegun is called with true after the first byte of each response was received, interim ones included, and with false once
	// the response is read.
	OnBegun func(begun bool)
	// Reserve reserves memory for a body that is held whole. False means that there is none.
	Reserve func(bytes int) bool
	// OnBody is called before the body is read, with the response's status and whether its length is known; may be nil.
	OnBody func(status int, sized bool)
	// MayEndRead reports, after the read of the body has timed out, whether to return the response with what was read, and with
	// Rest for what follows. Otherwise the timeout is an error; nil = never.
	MayEndRead func() bool
}

// ReadResponse reads a whole response like ReadStreamedResponse; a body longer than MaxBody is ErrTooLarge.
func ReadResponse(reader *bufio.Reader, bodiless bool, onBegun func(bool)) (*Response, error) {
	options := ResponseOptions{Bodiless: bodiless, OnBegun: onBegun, Reserve: func(int) bool { return true }}
	r, err := ReadStreamedResponse(reader, options)
	if err == nil && r.Rest != nil {
		return nil, ErrTooLarge
	}
	return r, err
}

// ReadStreamedResponse reads a response, and skips interim ones. Of a body that is longer than MaxBody, for which there is no
// memory, or for which MayEndRead, it reads only the beginning; Rest has what follows.
func ReadStreamedResponse(reader *bufio.Reader, options ResponseOptions) (*Response, error) {
	for range maxInterimResponses {
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		options.OnBegun(true)
		r, err := readResponse(reader, &options)
		if err != nil {
			return nil, err
		}
		options.OnBegun(false)
		if r.Status >= http.StatusOK {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterimResponses)
}

func readResponse(reader *bufio.Reader, options *ResponseOptions) (*Response, error) {
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
	if options.Bodiless || !statusHasBody(status) {
		return r, nil
	}
	framing, err := parseFraming(r.Header)
	if err != nil {
		return nil, err
	}
	if !framing.chunked && !framing.sized { // the body ends with the connection
		r.Close = true
	}
	return r, r.readBody(reader, framing, options)
}

// readBody reads the body, or its beginning.
func (r *Response) readBody(reader *bufio.Reader, f framing, options *ResponseOptions) (err error) {
	if options.OnBody != nil {
		options.OnBody(r.Status, f.sized)
	}
	body := f.newBody(reader, true)
	var rest *Body
	r.Body, rest, err = body.readFirst(f.bytesToBuffer(options.Reserve))
	if errors.Is(err, os.ErrDeadlineExceeded) && options.MayEndRead != nil && options.MayEndRead() {
		rest, err = body, nil
	}
	if rest != nil { // a nil *Body in Rest would not be a nil Stream
		r.Rest = rest
	}
	return err
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
