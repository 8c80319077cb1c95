// Package http1 reads and writes HTTP/1.1 messages within fixed bounds. It knows nothing of what they mean
// to the sidecar, and neither a consumer nor a provider can make it panic or grow without limit.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"plankrouter/internal/invocation"
)

// The bounds. A line must also fit the reader's buffer, so readers come from NewReader.
const (
	MaxBody    = 64 << 10
	maxLine    = 8 << 10
	maxHeaders = 100
	maxHead    = 32 << 10
	maxInterim = 8 // 1xx answers before the real one
)

// Field is one header line.
type Field = invocation.Field

// Header is a message's header lines in order.
type Header []Field

// Get returns the value of the first line of that name.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Only returns the value of a name that must not be given twice with different values.
func (h Header) Only(name string) (value string, given bool, err error) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if given && f.Value != value {
				return "", true, fmt.Errorf("%w: two different %s", ErrMalformed, name)
			}
			value, given = f.Value, true
		}
	}
	return value, given, nil
}

// lists reports whether a comma-separated header holds the word.
func (h Header) lists(name, word string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// EndToEnd returns the lines that are meant for the far end: all but those of one connection or of framing,
// and those that drop names.
func (h Header) EndToEnd(drop func(name string) bool) []Field {
	out := make([]Field, 0, len(h))
	for _, f := range h {
		if !hopByHop[strings.ToLower(f.Name)] && !h.lists("Connection", f.Name) && (drop == nil || !drop(f.Name)) {
			out = append(out, f)
		}
	}
	return out
}

var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true, "host": true,
}

// ErrMalformed is in the chain of every error that is the other side's breach of HTTP or of the bounds; any
// other error comes from the connection.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge is a breach of the bound on bodies.
var ErrTooLarge = fmt.Errorf("%w: body too large", ErrMalformed)

// Request is a consumer's message.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection ends with the answer
	framing
}

// Response is an answer.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

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

// ReadRequest reads up to the end of the header; ReadBody reads the rest.
func ReadRequest(br *bufio.Reader) (*Request, error) {
	line, err := readLine(br)
	if err == nil && line == "" { // one empty line before a request is tolerated, as RFC 9112 asks
		line, err = readLine(br)
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !token(method) || !visible(target) {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
	}
	r := &Request{Method: method, Target: target}
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	if r.Header, err = readHeader(br); err != nil {
		return nil, err
	}
	if hosts := count(r.Header, "Host"); hosts > 1 || hosts == 0 && minor > 0 {
		return nil, fmt.Errorf("%w: %d Host lines", ErrMalformed, hosts)
	}
	r.Close = closes(r.Header, minor)
	r.framing, err = frame(r.Header)
	if r.chunked && minor == 0 {
		return nil, fmt.Errorf("%w: chunked in HTTP/1.0", ErrMalformed)
	}
	return r, err
}

// WantsContinue reports whether the sender waits to be told to go on before it sends the body.
func (r *Request) WantsContinue() bool {
	return r.Header.lists("Expect", "100-continue") && (r.chunked || r.length > 0)
}

// ReadBody reads the body that the header announced.
func (r *Request) ReadBody(br *bufio.Reader) (err error) {
	r.Body, err = r.read(br, false)
	return err
}

// ReadResponse reads a whole answer, passing over interim ones. One to HEAD is bodiless, whatever its header says. Before
// each it waits for the first byte and then calls begun, with false once it is whole.
func ReadResponse(br *bufio.Reader, bodiless bool, begun func(bool)) (*Response, error) {
	for range maxInterim {
		if _, err := br.Peek(1); err != nil {
			return nil, err
		}
		begun(true)
		r, err := readResponse(br, bodiless)
		if err != nil {
			return nil, err
		}
		if begun(false); r.Status >= 200 {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrMalformed)
}

func readResponse(br *bufio.Reader, bodiless bool) (*Response, error) {
	line, err := readLine(br)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	r := new(Response)
	if r.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || r.Status < 100 {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	if r.Header, err = readHeader(br); err != nil {
		return nil, err
	}
	r.Close = closes(r.Header, minor)
	if r.Status < 200 || bodiless || r.Status == 204 || r.Status == 304 {
		return r, nil
	}
	f, err := frame(r.Header)
	if err != nil {
		return nil, err
	}
	if !f.chunked && !f.sized { // then the end of the connection ends the body
		r.Close = true
	}
	r.Body, err = f.read(br, true)
	return r, err
}

// framing says how long a body is.
type framing struct {
	chunked, sized bool
	length         int
}

// frame decides on the framing. What two readers could take differently is malformed: that is how one
// request is smuggled inside another.
func frame(h Header) (f framing, err error) {
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
		if f.length, err = number(length, 10); err != nil {
			return f, err
		}
	}
	return f, nil
}

// number reads an unsigned figure of at most MaxBody, digits only.
func number(s string, base int) (int, error) {
	if s == "" || s[0] == '+' {
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	n, err := strconv.ParseUint(s, base, 63)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && n > MaxBody:
		return 0, ErrTooLarge
	case err != nil:
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	return int(n), nil
}

func (f framing) read(br *bufio.Reader, toEOF bool) ([]byte, error) {
	switch {
	case f.chunked:
		return readChunks(br)
	case f.sized:
		return readN(br, nil, f.length)
	case !toEOF:
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(br, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = ErrTooLarge
	}
	return body, err
}

func readN(br *bufio.Reader, body []byte, n int) ([]byte, error) {
	at := len(body)
	body = append(body, make([]byte, n)...)
	_, err := io.ReadFull(br, body[at:])
	return body, cutShort(err)
}

func readChunks(br *bufio.Reader) (body []byte, err error) {
	for {
		line, err := readLine(br)
		if err != nil {
			return nil, cutShort(err)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := number(strings.TrimRight(size, " \t"), 16)
		switch {
		case err != nil:
			return nil, err
		case n == 0:
			_, err = readHeader(br) // trailers are not passed on
			return body, err
		case len(body)+n > MaxBody:
			return nil, ErrTooLarge
		}
		if body, err = readN(br, body, n); err != nil {
			return nil, err
		}
		if line, err = readLine(br); err != nil || line != "" {
			return nil, cmpErr(err, "chunk end")
		}
	}
}

func cmpErr(err error, what string) error {
	if err != nil {
		return cutShort(err)
	}
	return fmt.Errorf("%w: %s", ErrMalformed, what)
}

func cutShort(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readHeader(br *bufio.Reader) (Header, error) {
	var h Header
	for size := 0; ; {
		line, err := readLine(br)
		if err != nil {
			return nil, cutShort(err)
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if size += len(line); !ok || !token(name) || !text(value) || len(h) >= maxHeaders || size > maxHead {
			return nil, fmt.Errorf("%w: header", ErrMalformed)
		}
		h = append(h, Field{Name: name, Value: value})
	}
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

func count(h Header, name string) (n int) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// ValidField reports whether a header line can be written as it is.
func ValidField(name, value string) bool { return token(name) && text(value) }

// ValidStart reports whether a request line can be written as it is.
func ValidStart(method, target string) bool { return token(method) && visible(target) }

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

// AppendRequest appends a whole request. A body is announced where there is one or the method suggests it.
func AppendRequest(b []byte, method, target, host string, fields []Field, body []byte) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	b = appendFields(b, fields)
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = appendLength(b, len(body))
	}
	return append(append(b, "\r\n"...), body...)
}

// AppendResponse appends a whole answer.
func AppendResponse(b []byte, r *Response) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(r.Status), 10)
	b = append(append(append(b, ' '), reasons[r.Status]...), "\r\n"...)
	b = appendFields(b, r.Header)
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = appendLength(b, len(r.Body))
	return append(append(b, "\r\n"...), r.Body...)
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), "\r\n"...)
}

func appendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return b
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	502: "Bad Gateway", 503: "Service Unavailable"}
