package http1

import (
	"bufio"
	"fmt"
	"strings"

	"plankrouter/internal/field"
)

// Field is a header line.
type Field = field.Field

// Header contains the header lines of a message, in order.
type Header []Field

// Get returns the value of the first line with the name, or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// SingleValue returns the value of a header that must not occur with different values. An error wraps ErrMalformed.
func (h Header) SingleValue(name string) (value string, given bool, err error) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if given && f.Value != value {
				return "", true, fmt.Errorf("%w: conflicting values of %s", ErrMalformed, name)
			}
			value, given = f.Value, true
		}
	}
	return value, given, nil
}

// hasListItem reports whether a comma-separated header contains the item.
func (h Header) hasListItem(name, item string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), item) {
				return true
			}
		}
	}
	return false
}

// EndToEnd returns the lines that a proxy forwards: all except hop-by-hop and framing headers (RFC 9110, 7.6.1), and those
// for which drop, which may be nil, returns true.
func (h Header) EndToEnd(drop func(name string) bool) []Field {
	out := make([]Field, 0, len(h))
	for _, f := range h {
		if !hopByHop[strings.ToLower(f.Name)] && !h.hasListItem("Connection", f.Name) && (drop == nil || !drop(f.Name)) {
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

// ValidField reports whether a header line can be written without escaping.
func ValidField(name, value string) bool { return isToken(name) && isText(value) }

// ValidRequestLine reports whether a request line can be written without escaping.
func ValidRequestLine(method, target string) bool { return isToken(method) && isVisible(target) }

func readHeader(reader *bufio.Reader) (Header, error) {
	var h Header
	size := 0
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, asUnexpectedEOF(err)
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		size += len(line)
		if !ok || !isToken(name) || !isText(value) || len(h) >= maxHeaderLines || size > maxHeaderBytes {
			return nil, fmt.Errorf("%w: header line is invalid, or the header too large", ErrMalformed)
		}
		h = append(h, Field{Name: name, Value: value})
	}
}

func countFields(h Header, name string) (n int) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}
