package http1

import "strconv"

// AppendRequest appends a whole request. It has a Content-Length if there is a body, or if the method usually has one.
func AppendRequest(b []byte, method, target, host string, fields []Field, body []byte) []byte {
	return AppendStreamedRequest(b, method, target, host, fields, body, int64(len(body)))
}

// AppendStreamedRequest appends the head of a request and the beginning of its body: body is that beginning, and length the
// length of the complete body. A length of -1 means that the body is sent in chunks, of which body is the first.
func AppendStreamedRequest(b []byte, method, target, host string, fields []Field, body []byte, length int64) []byte {
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

// AppendResponse appends a response or, if it has a Rest, its head and the beginning of its body. A body of unknown length is
// sent in chunks or, to a client of HTTP/1.0, ends with the connection.
func AppendResponse(b []byte, r *Response, isHTTP10 bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(r.Status), 10)
	b = append(append(append(b, ' '), reasonPhrases[r.Status]...), "\r\n"...)
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
	case !isHTTP10:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		return AppendChunk(b, r.Body)
	}
	return append(append(b, "\r\n"...), r.Body...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"

// AppendChunk appends p as a chunk. An empty p appends nothing, because an empty chunk would end the body.
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

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	502: "Bad Gateway", 503: "Service Unavailable",
}
