// Package http1 reads and writes HTTP/1.1 messages within fixed bounds. It knows nothing of what they mean
// to the sidecar, and neither a consumer nor a provider can make it panic or grow without limit.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"plankrouter/internal/field"
	"strconv"
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

// Field is one header line.
type Field = field.Field

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

// ErrTooLarge is a breach of a bound on bodies.
var ErrTooLarge = fmt.Errorf("%w: body too large", ErrMalformed)

// Request is a consumer's message.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Rest           *Body // what follows Body, if that is not all; nil = it is
	Close          bool  // the connection ends with the answer
	Old            bool  // HTTP/1.0: it can't read chunks
	framing
}

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
	r.Close, r.Old = closes(r.Header, minor), minor == 0
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

// ReadBody reads the body that the header announced, which must not be longer than MaxBody.
func (r *Request) ReadBody(br *bufio.Reader) (err error) {
	if r.length > MaxBody {
		return ErrTooLarge
	}
	if err = r.ReadFirst(br); err == nil && r.Rest != nil {
		err = ErrTooLarge
	}
	return err
}

// ReadFirst reads the first MaxBody bytes of the body that the header announced; Rest has what follows, if anything does.
func (r *Request) ReadFirst(br *bufio.Reader) (err error) {
	r.Body, r.Rest, err = r.body(br, false).first(MaxBody)
	return err
}

// Length is the body's length by the header; -1 = it does not say.
func (r *Request) Length() int64 {
	if r.chunked {
		return -1
	}
	return r.length
}

// ReadResponse reads a whole answer, of up to MaxBody, as ReadLong does.
func ReadResponse(br *bufio.Reader, bodiless bool, begun func(bool)) (*Response, error) {
	r, err := ReadLong(br, bodiless, begun, func(int) bool { return true })
	if err == nil && r.Rest != nil {
		return nil, ErrTooLarge
	}
	return r, err
}

// ReadLong reads an answer, passing over interim ones. One to HEAD is bodiless, whatever its header says. Before each it waits
// for the first byte and then calls begun, with false once it is whole. Of one that is longer than MaxBody, or that mayKeep
// leaves no room for, it reads a beginning only; Rest has what follows.
func ReadLong(br *bufio.Reader, bodiless bool, begun func(bool), mayKeep func(int) bool) (*Response, error) {
	for range maxInterim {
		if _, err := br.Peek(1); err != nil {
			return nil, err
		}
		begun(true)
		r, err := readResponse(br, bodiless, mayKeep)
		if err != nil {
			return nil, err
		}
		if begun(false); r.Status >= 200 {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrMalformed)
}

func readResponse(br *bufio.Reader, bodiless bool, mayKeep func(int) bool) (*Response, error) {
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
	b, most := f.body(br, true), MaxBody
	switch {
	case f.sized && f.length > MaxBody:
		most = 0 // it flows anyway: the sooner the better
	case f.sized && !mayKeep(int(f.length)), !f.sized && !mayKeep(MaxBody):
		most = 0
	}
	var more *Body
	if r.Body, more, err = b.first(most); more != nil {
		r.Rest = more
	}
	return r, err
}

// framing says how long a body is.
type framing struct {
	chunked, sized bool
	length         int64
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
		if f.length, err = number(length, 10, MaxLong); err != nil {
			return f, err
		}
	}
	return f, nil
}

// number reads an unsigned figure of at most most, digits only.
func number(s string, base int, most int64) (int64, error) {
	if s == "" || s[0] == '+' {
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	n, err := strconv.ParseUint(s, base, 63)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(most):
		return 0, ErrTooLarge
	case err != nil:
		return 0, fmt.Errorf("%w: length", ErrMalformed)
	}
	return int64(n), nil
}

func (f framing) body(br *bufio.Reader, toEOF bool) *Body {
	return &Body{br: br, framing: f, left: f.length, toEOF: toEOF && !f.chunked && !f.sized}
}

// Body reads a message's body as it comes, without its framing. It ends with io.EOF once it was whole; any other error says
// that it will never be.
type Body struct {
	br *bufio.Reader
	framing
	toEOF bool
	left  int64 // of the body, or of the present chunk
	inner bool  // in a chunk, whose end is still to come
	total int64
	err   error
}

// Length is what is left of the body; -1 = that is not known.
func (b *Body) Length() int64 {
	if b.chunked || b.toEOF {
		return -1
	}
	return b.left
}

// Read reads what is there, and waits where nothing is.
func (b *Body) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 && !b.toEOF {
		b.err = io.EOF
		if b.chunked {
			b.err = b.nextChunk()
		}
	}
	if b.err != nil {
		return 0, b.err
	}
	if !b.toEOF && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	if b.total += int64(n); b.total > MaxLong {
		err = ErrTooLarge
	}
	if !b.toEOF {
		b.left -= int64(n)
		err = cutShort(err)
	}
	if b.chunked || !errors.Is(err, os.ErrDeadlineExceeded) { // else who reads on goes on where it was
		b.err = err
	}
	return n, err
}

// nextChunk reads up to the next chunk's first byte, or up to the body's end, which is io.EOF.
func (b *Body) nextChunk() error {
	if b.inner {
		if line, err := readLine(b.br); err != nil || line != "" {
			return cmpErr(err, "chunk end")
		}
		b.inner = false
	}
	line, err := readLine(b.br)
	if err != nil {
		return cutShort(err)
	}
	size, _, _ := strings.Cut(line, ";")
	if b.left, err = number(strings.TrimRight(size, " \t"), 16, MaxLong); err != nil {
		return err
	}
	if b.inner = b.left > 0; b.inner {
		return nil
	}
	if _, err = readHeader(b.br); err != nil { // trailers are not passed on
		return err
	}
	return io.EOF
}

// first reads the first most bytes; rest is nil if they are all.
func (b *Body) first(most int) (body []byte, rest *Body, err error) {
	if n := b.Length(); n > 0 {
		body = make([]byte, 0, min(n, int64(most)))
	}
	for {
		if b.Length() == 0 {
			return body, nil, nil
		}
		if len(body) >= most {
			if most > 0 && b.Length() < 0 { // it may have ended just here
				if err := b.peek(); err == io.EOF {
					return body, nil, nil
				} else if err != nil {
					return body, nil, err
				}
			}
			return body, b, nil
		}
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(max(most, 1), max(512, 2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := b.Read(body[len(body):min(cap(body), max(most, 1))])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil, nil
		}
		if err != nil {
			return body, nil, err
		}
	}
}

// peek waits for the next byte of the body, or for its end.
func (b *Body) peek() error {
	if b.err == nil && b.chunked && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err == nil {
		_, b.err = b.br.Peek(1)
		if !b.toEOF {
			b.err = cutShort(b.err)
		}
	}
	return b.err
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
	return AppendLongRequest(b, method, target, host, fields, body, int64(len(body)))
}

// AppendLongRequest appends a request whose body has that length in all and begins with this; -1 = in chunks, of which this is the
// first.
func AppendLongRequest(b []byte, method, target, host string, fields []Field, body []byte, length int64) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	b = appendFields(b, fields)
	if length < 0 {
		return AppendChunk(append(b, "Transfer-Encoding: chunked\r\n\r\n"...), body)
	}
	if length > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = appendLength(b, length)
	}
	return append(append(b, "\r\n"...), body...)
}

// AppendResponse appends an answer: the whole, or, where more of it follows, its head and beginning. A length that is not known
// is told by chunks, of which this is the first, or, to an old client, by the end of the connection.
func AppendResponse(b []byte, r *Response, old bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(r.Status), 10)
	b = append(append(append(b, ' '), reasons[r.Status]...), "\r\n"...)
	b = appendFields(b, r.Header)
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	switch {
	case r.Bodiless:
	case r.Rest == nil:
		b = appendLength(b, int64(len(r.Body)))
	case r.Rest.Length() >= 0:
		b = appendLength(b, int64(len(r.Body))+r.Rest.Length())
	case !old:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		return AppendChunk(b, r.Body)
	}
	return append(append(b, "\r\n"...), r.Body...)
}

// LastChunk ends a body in chunks.
const LastChunk = "0\r\n\r\n"

// AppendChunk appends a chunk with p, if there is anything in it: an empty one would end the body.
func AppendChunk(b, p []byte) []byte {
	if len(p) == 0 {
		return b
	}
	b = append(strconv.AppendInt(b, int64(len(p)), 16), "\r\n"...)
	return append(append(b, p...), "\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), n, 10), "\r\n"...)
}

func appendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return b
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	502: "Bad Gateway", 503: "Service Unavailable",
}
